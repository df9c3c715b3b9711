import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createNorthInstance, NOTHING_TRIED } from './testing/north-instance';

const REPEATABLE = { kind: 'stream', isResumable: true, maxAttempts: 2 } as const;
const ONCE = { kind: 'nonIdempotent', maxAttempts: 2 } as const;

/** An instance with a server that has misbehaved at the time 0, and `others` sound ones that are busier. */
function instanceWithSuspect(others: number) {
  const region = createNorthInstance([]);
  region.announce('suspect', 'north-a');
  region.router.suspicions.recordMisbehaved('suspect', 0);
  for (let index = 0; index < others; index += 1) {
    region.announce(`sound-${index}`, 'north-a');
    for (let sent = 0; sent < 8; sent += 1) {
      region.router.loads.recordSent(`sound-${index}`, 1_000, 0);
    }
  }
  const choose = (plan: object): string => {
    const to = region.choose(NOTHING_TRIED, plan);
    return to.kind === 'server' ? to.server.serverId : to.kind;
  };
  /** Sends a request that is expected to go to the server under suspicion. */
  const send = (plan: object) => {
    const to = region.choose(NOTHING_TRIED, plan);
    if (to.kind !== 'server') throw new TypeError('no server was chosen');
    assert.equal(to.server.serverId, 'suspect');
    return region.observe(to);
  };
  return { ...region, choose, send };
}

// A server whose answers have no end has few requests, so it looks like the best one. Each request that is sent there costs
// its caller seconds, and one that may not be repeated costs the answer.
describe('a server under suspicion', () => {
  it('gets nothing until its backoff is over, though it is idle', () => {
    const { choose } = instanceWithSuspect(2);
    assert.notEqual(choose(REPEATABLE), 'suspect');
  });

  it('then gets one request that may be repeated, and others once that is answered whole', () => {
    const instance = instanceWithSuspect(2);
    instance.advanceMs(600);
    assert.notEqual(instance.choose(ONCE), 'suspect');
    const observer = instance.send(REPEATABLE);
    assert.notEqual(instance.choose(REPEATABLE), 'suspect');
    observer.recordEnd('answered');
    assert.equal(instance.choose(ONCE), 'suspect');
  });

  it('gets no request that can be sent to no further server', () => {
    const instance = instanceWithSuspect(2);
    instance.advanceMs(600);
    assert.notEqual(instance.choose({ ...REPEATABLE, maxAttempts: 1 }), 'suspect');
  });

  it('gets any request if nothing that may be repeated has come for long', () => {
    const instance = instanceWithSuspect(2);
    instance.advanceMs(3_000);
    assert.equal(instance.choose(ONCE), 'suspect');
  });

  it('is better than a refusal', () => {
    assert.equal(instanceWithSuspect(0).choose(ONCE), 'suspect');
  });
});
