import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { openPlatformStandIn } from '../../../standins/platform';
import type { PlatformStandIn } from '../../../standins/platform';
import { createConfigurationService } from './configuration-service';

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
