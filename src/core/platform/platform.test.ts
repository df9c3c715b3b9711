import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { openPlatformStandIn } from '../../../standins/platform';
import type { PlatformStandIn } from '../../../standins/platform';
import { openServerListStandIn } from '../../../standins/server-list';
import type { ServerListStandIn } from '../../../standins/server-list';
import { openStandIn, sendJson } from '../../../standins/listen';
import { createConfigurationService } from './configuration-service';
import { readInstanceList } from './read-instance-list';

const KEY = 'coltsfootworks/configuration';

describe('the configuration service', () => {
  let platform: PlatformStandIn;
  before(async () => {
    platform = await openPlatformStandIn();
  });
  after(() => platform[Symbol.asyncDispose]());
  const open = () => createConfigurationService({ url: `http://${platform.address}`, key: KEY });
  const { signal } = new AbortController();

  it('is read at once, watched for the next change, and read for documents by their hash', async () => {
    platform.publish(KEY, 'first');
    platform.publish(`${KEY}/documents/abc`, 'a section');
    const service = open();
    assert.equal((await service.readRoot(signal)).rootText, 'first');
    assert.equal(await service.readDocument('abc', signal), 'a section');
    const first = await service.watch('0', signal);
    assert.equal(first.rootText, 'first');
    const next = service.watch(first.index, signal);
    platform.publish(KEY, 'second');
    assert.equal((await next).rootText, 'second');
  });

  // The service is down. Each read has to end, and to say which service failed.
  it('fails each read with the step and the service while it is down', async () => {
    platform.setMood('down');
    const service = open();
    for (const read of [
      () => service.readRoot(signal),
      () => service.watch('0', signal),
      () => service.readDocument('abc', signal),
    ]) {
      await assert.rejects(read, {
        name: 'PlatformUnavailable',
        step: 'read-configuration',
        peer: `http://${platform.address}`,
      });
    }
  });
});

describe('the list of instances', () => {
  let list: ServerListStandIn;
  before(async () => {
    list = await openServerListStandIn();
  });
  after(() => list[Symbol.asyncDispose]());

  it('gives the peer address of each entry, whatever the list says of its health', async () => {
    list.setServers('coltsfootworks', [
      { id: 'i-1', address: '10.0.0.1:7400', state: 'passing' },
      { id: 'i-2', address: '10.0.0.2:7400', state: 'failing' },
      { id: 'i-3', address: '10.0.0.3:7400', state: 'leaving' },
    ]);
    const place = { url: `http://${list.address}`, service: 'coltsfootworks' };
    assert.deepEqual(await readInstanceList(place), [
      '10.0.0.1:7400',
      '10.0.0.2:7400',
      '10.0.0.3:7400',
    ]);
  });

  // Some entries of the list are damaged. One of them must not hide the rest of the fleet.
  it('leaves out entries that it cannot read', async () => {
    const entries = [
      null,
      { Node: {} },
      { Node: { Address: '10.0.0.9' }, Service: { Address: '', Port: 7400 } },
      { Node: { Address: 'x' }, Service: { Address: 'fd00::1', Port: 7400 } },
    ];
    await using damaged = await openStandIn(async (_incoming, response) =>
      sendJson(response, 200, entries),
    );
    const place = { url: `http://${damaged.address}`, service: 'any' };
    assert.deepEqual(await readInstanceList(place), ['10.0.0.9:7400', '[fd00::1]:7400']);
  });
});
