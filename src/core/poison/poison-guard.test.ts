import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { resilienceSchema } from '../configuration';
import { createGossipStore } from '../gossip';
import { createFakeClock, createMemoryLogger } from '../../testing';
import type { FakeClock } from '../../testing';
import { POISON_EVENTS } from './events';
import { fingerprintOf } from './fingerprint';
import { createPoisonGuard } from './poison-guard';
import { parsePoisonStatement } from './statement';
import type { DirectChannel, GuardedRequest } from './poison-guard';

const OPTIONS = resilienceSchema.parse({}).poison;
const KEY = new Uint8Array(32).fill(7);
const REGIONS = ['rundu', 'windhoek'];
const CRASH = { kind: 'lostAfterSending', cause: 'reset' } as const;

const requestOf = (content: string, attempt = 1): GuardedRequest => ({
  requestId: `request-${content.length}`,
  attempt,
  service: { name: 'kit' },
  caller: { id: 'farmer' },
  method: 'POST',
  path: '/v1/chat/completions',
  body: Buffer.from(content),
});

function instance(instanceId: string, clock: FakeClock, direct?: DirectChannel) {
  const logger = createMemoryLogger();
  const gossip = createGossipStore(instanceId, clock);
  const guard = createPoisonGuard({
    clock,
    logger,
    gossip,
    key: KEY,
    options: () => OPTIONS,
    direct,
  });
  const crash = (content: string, serverId: string, attempt = 1) =>
    guard.watch(requestOf(content, attempt), serverId, REGIONS).failed(CRASH);
  const answer = (content: string, serverId: string) =>
    guard.watch(requestOf(content, 9), serverId, REGIONS).answered();
  const kindOf = (content: string) => guard.verdict(requestOf(content)).kind;
  return { logger, gossip, guard, crash, answer, kindOf };
}

// A request makes each server that runs it crash, and its caller sends it again and again. Users see one
// engine after the other disappear until none is left.
describe('a request that crashes servers', () => {
  it('is refused after the second crash, for longer after each further one', () => {
    const clock = createFakeClock();
    const { guard, crash, kindOf, logger } = instance('a', clock);
    assert.equal(kindOf('poison'), 'unknown');
    crash('poison', 'engine-1');
    assert.equal(kindOf('poison'), 'suspect');
    clock.advanceBy(50);
    crash('poison', 'engine-2', 2);
    assert.deepEqual(guard.verdict(requestOf('poison')), {
      kind: 'refused',
      crashes: 2,
      untilUnixMs: clock.unixMs() + OPTIONS.refuseForMs,
    });
    assert.equal(logger.of(POISON_EVENTS.proven).length, 1);

    clock.advanceBy(OPTIONS.refuseForMs);
    assert.equal(kindOf('poison'), 'suspect');
    crash('poison', 'engine-3', 3);
    assert.deepEqual(guard.verdict(requestOf('poison')), {
      kind: 'refused',
      crashes: 3,
      untilUnixMs: clock.unixMs() + 2 * OPTIONS.refuseForMs,
    });
  });

  it('is refused by every instance that has heard of both crashes', () => {
    const clock = createFakeClock();
    const first = instance('a', clock);
    const second = instance('b', clock);
    first.crash('poison', 'engine-1');
    second.gossip.receive(first.gossip.entries('poisonFingerprints'));
    clock.advanceBy(5_000);
    second.crash('poison', 'engine-2', 2);
    assert.equal(second.kindOf('poison'), 'refused');
    first.gossip.receive(second.gossip.entries('poisonFingerprints'));
    assert.equal(first.kindOf('poison'), 'refused');
  });

  it('is told of only in the regions of its data, and never by its content', () => {
    const { gossip, crash, logger } = instance('a', createFakeClock());
    crash('a floor plan', 'engine-1');
    const [entry] = gossip.entries('poisonFingerprints');
    assert.deepEqual(entry?.regions, REGIONS);
    assert.doesNotMatch(JSON.stringify([entry, logger.lines.map((line) => line.fields)]), /floor/);
  });

  // A caller sends the request again under the id that it had, and each time it is the first try of that request.
  it('counts each crash of a request that comes again under its id', () => {
    const { crash, kindOf } = instance('a', createFakeClock());
    crash('poison', 'engine-1');
    crash('poison', 'engine-2');
    assert.equal(kindOf('poison'), 'refused');
  });

  it('counts one crash once when copies of it were open on the server', () => {
    const clock = createFakeClock();
    const { crash, kindOf } = instance('a', clock);
    crash('poison', 'engine-1', 1);
    clock.advanceBy(20);
    crash('poison', 'engine-1', 2);
    assert.equal(kindOf('poison'), 'suspect');
    clock.advanceBy(60_000);
    crash('poison', 'engine-1', 3);
    assert.equal(kindOf('poison'), 'refused');
  });
});

// A server crashes while other requests are open on it. Each of them looks as guilty as the one that did it;
// a caller whose order was merely near would be refused for something it never did.
describe('an innocent request on a crashed server', () => {
  it('is cleared everywhere by its next answer, also where the crash is heard of later', () => {
    const clock = createFakeClock();
    const first = instance('a', clock);
    const second = instance('b', clock);
    first.crash('innocent', 'engine-1');
    const crashed = first.gossip.entries('poisonFingerprints');
    clock.advanceBy(100);
    first.answer('innocent', 'engine-2');
    assert.equal(first.kindOf('innocent'), 'unknown');
    second.gossip.receive(first.gossip.entries('poisonFingerprints'));
    second.gossip.receive(crashed.map((entry) => ({ ...entry, origin: 'c', version: 1 })));
    assert.equal(second.kindOf('innocent'), 'unknown');
  });

  it('is kept off servers that run another suspect', () => {
    const { guard, crash } = instance('a', createFakeClock());
    crash('poison', 'engine-1');
    crash('innocent', 'engine-1');
    const running = guard.watch(requestOf('poison', 2), 'engine-2', REGIONS);
    assert.deepEqual(guard.serversToAvoid(requestOf('innocent')), ['engine-1', 'engine-2']);
    assert.deepEqual(guard.serversToAvoid(requestOf('poison')), ['engine-1']);
    running.failed(CRASH);
    assert.deepEqual(guard.serversToAvoid(requestOf('innocent')), ['engine-1']);
  });

  const harmless = [
    { what: 'a server that could not be reached', evidence: { kind: 'neverSent' } as const },
    {
      what: 'a server that was silent',
      evidence: { kind: 'lostAfterSending', cause: 'timeout' } as const,
    },
  ];
  for (const { what, evidence } of harmless) {
    it(`is not suspected for ${what}`, () => {
      const { guard, kindOf } = instance('a', createFakeClock());
      guard.watch(requestOf('plan'), 'engine-1', REGIONS).failed(evidence);
      assert.equal(kindOf('plan'), 'unknown');
    });
  }

  it('is forgotten when it never comes again', () => {
    const clock = createFakeClock();
    const { crash, kindOf, guard } = instance('a', clock);
    crash('innocent', 'engine-1');
    clock.advanceBy(2 * OPTIONS.refuseForMs);
    assert.equal(kindOf('innocent'), 'unknown');
    assert.deepEqual(guard.serversToAvoid(requestOf('innocent')), []);
  });
});

describe('a fingerprint', () => {
  it('differs when the same characters are shared out differently', () => {
    const base = requestOf('body');
    const shifted = { ...base, method: 'POS', path: `T${base.path}` };
    assert.notEqual(fingerprintOf(base, KEY), fingerprintOf(shifted, KEY));
    assert.notEqual(fingerprintOf(base, KEY), fingerprintOf(base, new Uint8Array(32)));
    assert.equal(
      fingerprintOf(base, KEY),
      fingerprintOf({ ...base, body: Buffer.from('body') }, KEY),
    );
  });
});

const OTHER_CLOCK_AHEAD_MS = 60_000;
const SUSPECTS = 40;

interface SentMessage {
  readonly regions: readonly string[];
  readonly text: string;
}

/** Creates an instance that collects its direct messages. */
function tellingInstance(instanceId: string, clock: FakeClock) {
  const sent: SentMessage[] = [];
  const send = (regions: readonly string[], text: string) => sent.push({ regions, text });
  return { ...instance(instanceId, clock, { instanceId, send }), sent };
}

describe('crashes told directly', () => {
  // One crash cuts off dozens of requests. If each of them went out by gossip, they would delay the one that matters.
  it('are told together, in messages of one frame, and single ones not by gossip', () => {
    const clock = createFakeClock();
    const { crash, answer, gossip, sent } = tellingInstance('a', clock);
    const gossipKinds = () =>
      gossip
        .entries('poisonFingerprints')
        .map(({ payload }) => parsePoisonStatement(payload)?.kind);
    for (let number = 0; number < SUSPECTS; number += 1) crash(`cut off ${number}`, 'engine-1');
    clock.advanceBy(20);
    assert.ok(sent.length < SUSPECTS / 4, `${sent.length} messages`);
    assert.ok(sent.every(({ text }) => Buffer.byteLength(text) <= 1_400));
    assert.ok(sent.every(({ regions }) => regions === REGIONS));
    assert.deepEqual(gossip.entries('poisonFingerprints'), []);
    crash('cut off 0', 'engine-2', 2);
    assert.deepEqual(gossipKinds(), ['crashed']);
    answer('cut off 0', 'engine-3');
    assert.deepEqual(gossipKinds(), ['cleared']);
    clock.advanceBy(20);
    crash('cut off 0', 'engine-1', 3);
    assert.deepEqual(gossipKinds(), ['cleared']);
  });

  // The wall clocks of two instances differ by a minute. Copies of one request that one crash cut off at both must not
  // count as two crashes, nor may an answer clear crashes that come after it.
  it('count by their age, whatever the clocks of the instances say', () => {
    const clock = createFakeClock();
    const otherClock = createFakeClock();
    otherClock.advanceBy(OTHER_CLOCK_AHEAD_MS);
    const first = tellingInstance('a', clock);
    const second = tellingInstance('b', otherClock);
    const exchange = () => {
      clock.advanceBy(20);
      otherClock.advanceBy(20);
      for (const { text } of first.sent.splice(0)) assert.ok(second.guard.receive(text));
      for (const { text } of second.sent.splice(0)) assert.ok(first.guard.receive(text));
    };
    first.crash('copied', 'engine-1');
    second.crash('copied', 'engine-1');
    exchange();
    assert.deepEqual([first.kindOf('copied'), second.kindOf('copied')], ['suspect', 'suspect']);
    second.answer('copied', 'engine-2');
    exchange();
    assert.deepEqual([first.kindOf('copied'), second.kindOf('copied')], ['unknown', 'unknown']);
    first.crash('copied', 'engine-3', 2);
    exchange();
    first.crash('copied', 'engine-4', 3);
    exchange();
    assert.deepEqual([first.kindOf('copied'), second.kindOf('copied')], ['refused', 'refused']);
  });

  for (const text of [
    'no JSON',
    '[]',
    '{"kind":"requestCrashes"}',
    '{"kind":"requestCrashes","from":"b","statements":[{"kind":"crashed","fingerprint":"f"}]}',
    '{"kind":"requestCrashes","from":"b","statements":[{"kind":"new","fingerprint":"f"}]}',
    '{"kind":"serversLeaving","servers":[]}',
  ]) {
    it(`are ignored if malformed: ${text}`, () => {
      const { guard, kindOf } = tellingInstance('a', createFakeClock());
      assert.equal(guard.receive(text), false);
      assert.equal(kindOf('anything'), 'unknown');
    });
  }
});
