import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCutInstances } from './cut-instances';

const TICK_MS = 50;

/** Creates two instances; the first one's statements reach the second unless they are lost. */
function createPair() {
  let nowMs = 0;
  let isLost = false;
  const clock = { monotonicMs: () => nowMs };
  let sentCount = 0;
  const second = createCutInstances({ clock, selfId: 'b', sendToAll() {} });
  const first = createCutInstances({
    clock,
    selfId: 'a',
    sendToAll(text) {
      sentCount += 1;
      if (!isLost) second.receive(text);
    },
  });
  return {
    second,
    sentCount: () => sentCount,
    run(ms: number, isCut: boolean, loses = false) {
      isLost = loses;
      const endMs = nowMs + ms;
      while (nowMs < endMs) {
        first.sendIfDue(isCut);
        nowMs += TICK_MS;
      }
    },
  };
}

// Guards against forwarding to an instance that looks idle because it reaches no server.
describe('an instance that is cut off', () => {
  it('is known to others from its first statement to the one that ends it', () => {
    const { second, run } = createPair();
    run(1_000, false);
    assert.equal(second.isCutOff('a'), false);
    run(TICK_MS, true);
    assert.equal(second.isCutOff('a'), true);
    run(5_000, true);
    assert.equal(second.isCutOff('a'), true);
    run(TICK_MS, false);
    assert.equal(second.isCutOff('a'), false);
  });

  it('is no longer taken for cut off soon after it has gone silent', () => {
    const { second, run } = createPair();
    run(1_000, true);
    run(1_000, true, true);
    assert.equal(second.isCutOff('a'), true);
    run(1_000, true, true);
    assert.equal(second.isCutOff('a'), false);
    assert.equal(second.count(), 0);
  });

  it('says nothing while its links are sound', () => {
    const { run, sentCount } = createPair();
    run(10_000, false);
    assert.equal(sentCount(), 0);
  });

  for (const text of [
    '',
    '[]',
    '{"kind":"linksToServers","from":"","isCut":true}',
    '{"kind":"x"}',
  ]) {
    it(`is not taken for cut off by a malformed statement: ${text}`, () => {
      const { second } = createPair();
      assert.equal(second.receive(text), false);
      assert.equal(second.count(), 0);
    });
  }
});
