import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { splitConfiguration } from '../configuration';
import { startSmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

const KEY = 'coltsfootworks/configuration';

describe('a fleet whose configuration is published in sections', () => {
  it('takes the manifest, its sections and the next version’s changes over real sockets', async () => {
    await using fleet = await startSmallFleet();
    const publish = (published: ReturnType<typeof splitConfiguration>) => {
      for (const [hash, text] of published.documents) {
        fleet.platform.publish(`${KEY}/documents/${hash}`, text);
      }
      fleet.platform.publish(KEY, published.rootText);
    };
    const document = { ...fleet.configuration, version: 2 };
    const first = splitConfiguration(document);
    publish(first);
    const versionEverywhere = (version: number) =>
      waitFor(
        () => fleet.instances.every(({ node }) => node.configurationVersion() === version),
        `version ${version} everywhere`,
      );
    await versionEverywhere(2);

    const next = { ...document, version: 3, callers: document.callers.slice(1) };
    publish(splitConfiguration(next, { document, manifest: first.manifest }));
    await versionEverywhere(3);
    assert.ok(fleet.instances.every(({ node }) => node.isReady()));
  });
});
