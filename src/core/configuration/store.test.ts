import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMemoryLogger } from '../../testing';
import { sampleConfiguration, withCallerChanged } from '../../testing/sample-configuration';
import { CONFIGURATION_EVENTS } from './events';
import { contentHash } from './content-hash';
import { splitConfiguration } from './split-configuration';
import { createConfigurationStore } from './store';

const SIZE = { regions: 3, services: 4, servers: 40, callers: 1_500 };
const DOCUMENT = sampleConfiguration(SIZE);

function newStore(lowestVersion = 1) {
  const logger = createMemoryLogger();
  return { logger, store: createConfigurationStore(logger, { lowestVersion }) };
}

describe('the published form', () => {
  it('gives what the single document gives', () => {
    const { store } = newStore();
    const published = splitConfiguration(DOCUMENT);
    assert.equal(store.offer(published.rootText, 'test', published.documents).kind, 'inForce');
    const single = newStore().store;
    single.offer(JSON.stringify(DOCUMENT), 'test');
    const bySplit = store.current();
    const bySingle = single.current();
    for (const { id } of DOCUMENT.callers) {
      assert.deepEqual(bySplit?.callerById(id), bySingle?.callerById(id));
    }
    assert.deepEqual(
      bySplit
        ?.serversOf('service-1')
        .map((server) => server.id)
        .sort(),
      bySingle
        ?.serversOf('service-1')
        .map((server) => server.id)
        .sort(),
    );
    assert.equal(JSON.parse(store.currentText() ?? '{}').callers.length, SIZE.callers);
  });

  it('names the same sections whatever the order of the records', () => {
    const reversed = { ...DOCUMENT, callers: [...DOCUMENT.callers].reverse() };
    assert.deepEqual(
      splitConfiguration(reversed).manifest.sections,
      splitConfiguration(DOCUMENT).manifest.sections,
    );
  });

  it('asks for nothing but what a change holds, and for whole sections once that chain is broken', () => {
    const first = splitConfiguration(DOCUMENT);
    const { store } = newStore();
    store.offer(first.rootText, 'test', first.documents);
    const next = withCallerChanged(DOCUMENT, 700);
    const second = splitConfiguration(next, { document: DOCUMENT, manifest: first.manifest });
    const result = store.offer(second.rootText, 'test');
    const changeHash = second.manifest.changes.at(-1)?.hash ?? '';
    assert.deepEqual(result, { kind: 'incomplete', missingHashes: [changeHash] });
    const changeText = second.documents.get(changeHash) ?? '';
    assert.ok(changeText.length < 400, `${changeText.length} bytes`);
    const given = new Map([[changeHash, changeText]]);
    assert.equal(store.offer(second.rootText, 'test', given).kind, 'inForce');
    assert.equal(store.current()?.callerById('caller-700')?.limits.requestsPerSecond, 2);

    const behind = newStore().store;
    behind.offer(first.rootText, 'test', first.documents);
    const jumped = splitConfiguration({ ...withCallerChanged(next, 3), version: 9 });
    const whole = behind.offer(jumped.rootText, 'test');
    assert.equal(whole.kind === 'incomplete' && whole.missingHashes.length, 2);
  });

  it('carries records that are added and removed', () => {
    const first = splitConfiguration(DOCUMENT);
    const { store } = newStore();
    store.offer(first.rootText, 'test', first.documents);
    const [template] = DOCUMENT.callers;
    assert.ok(template !== undefined);
    const callers = [...DOCUMENT.callers.slice(10), { ...template, id: 'new-caller' }];
    const second = splitConfiguration(
      { ...DOCUMENT, version: 2, callers },
      { document: DOCUMENT, manifest: first.manifest },
    );
    const changes = new Map(
      second.manifest.changes.map(({ hash }) => [hash, second.documents.get(hash) ?? '']),
    );
    assert.equal(store.offer(second.rootText, 'test', changes).kind, 'inForce');
    assert.equal(store.current()?.callerById('caller-3'), undefined);
    assert.equal(store.current()?.callerById('new-caller')?.id, 'new-caller');
  });

  // A value is damaged on its way, or another one stands under its name. Taken as it is, it would put callers
  // into regions that they may not be in.
  it('never takes a document whose content does not fit its address', () => {
    const published = splitConfiguration(DOCUMENT);
    const { store } = newStore();
    const [hash = ''] = published.manifest.sections.callers;
    const damaged = new Map(published.documents);
    damaged.set(hash, (published.documents.get(hash) ?? '').replace('region-0', 'region-1'));
    assert.deepEqual(store.offer(published.rootText, 'test', damaged), {
      kind: 'incomplete',
      missingHashes: [hash],
    });
  });
});

describe('the version in force', () => {
  const text = (version: number, deployment = 'sample') =>
    JSON.stringify({ ...DOCUMENT, version, deployment });

  // The configuration service falls back to an old copy. What was tightened since must not open again.
  it('never falls, whoever offers a lower one', () => {
    const { store } = newStore();
    store.offer(text(5), 'test');
    assert.equal(store.offer(text(4), 'platform').kind, 'notNewer');
    assert.equal(store.current()?.version, 5);
  });

  it('is never below the lowest version that the settings allow', () => {
    const { store } = newStore(7);
    assert.equal(store.offer(text(6), 'platform').kind, 'notNewer');
    assert.equal(store.current(), undefined);
    assert.equal(store.offer(text(7), 'platform').kind, 'inForce');
  });

  // Operators publish a version with a mistake. It must neither come into force in part nor keep the next
  // one out.
  it('stays when a version has a mistake, which is reported once with its path, and the next one passes', () => {
    const { store, logger } = newStore();
    store.offer(text(1), 'test');
    const [first] = DOCUMENT.callers;
    assert.ok(first !== undefined);
    const broken = splitConfiguration({
      ...DOCUMENT,
      version: 2,
      callers: [{ ...first, regions: ['nowhere'] }],
    });
    for (let round = 0; round < 3; round += 1) {
      assert.equal(store.offer(broken.rootText, 'test', broken.documents).kind, 'refused');
    }
    const reports = logger.of(CONFIGURATION_EVENTS.versionRefused);
    assert.equal(reports.length, 1);
    assert.match(String(reports[0]?.fields.problems), /callers.*nowhere/);
    assert.equal(store.current()?.version, 1);
    assert.equal(store.offer(text(3), 'test').kind, 'inForce');
  });

  // Two operators publish different contents under one number. Instances that saw them in a different order
  // must not stay apart, and somebody has to be told.
  it('is the same everywhere when one number was given two contents, with an alarm', () => {
    const orders = [
      [text(2, 'one'), text(2, 'two')],
      [text(2, 'two'), text(2, 'one')],
    ];
    const ends = orders.map((contents) => {
      const { store, logger } = newStore();
      for (let round = 0; round < 2; round += 1) {
        contents.forEach((content) => store.offer(content, 'test'));
      }
      assert.equal(logger.of(CONFIGURATION_EVENTS.contentConflict).length, 1);
      return store.currentImage()?.digest;
    });
    assert.equal(ends[0], ends[1]);
  });

  it('gives documents addresses by their content', () => {
    assert.equal(contentHash('a'), contentHash('a'));
    assert.notEqual(contentHash('a'), contentHash('b'));
  });
});
