import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { createSeededRandom } from '../random';
import { createServerNotices } from '.';
import type { AnswerNotice, ServerNotices } from '.';

const NOTHING_STATED: AnswerNotice = {
  incarnationId: 's-1',
  departure: { kind: 'none' },
  pause: { kind: 'none' },
  isRefusal: false,
  source: 'answer',
};
const LEAVING: AnswerNotice = { ...NOTHING_STATED, departure: { kind: 'leaving' } };
const MALFORMED: AnswerNotice = {
  ...NOTHING_STATED,
  pause: { kind: 'malformed', text: '9'.repeat(60) },
};
const pauseOf = (waitMs: number): AnswerNotice => ({
  ...NOTHING_STATED,
  pause: { kind: 'pause', waitMs },
});

/** Creates the record of an instance that is alone in its region. */
function createLoneInstance() {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const notices = createServerNotices({
    clock,
    logger,
    self: () => ({ instanceId: 'a', region: 'north', address: 'a' }),
    peers: () => [],
    send() {},
    onDeparture() {},
    checkHealth() {},
  });
  return { clock, logger, notices };
}

/** Answers of one server, each with the time since the one before it, and the log events that follow. */
const HISTORIES: readonly {
  readonly name: string;
  readonly answers: readonly (readonly [afterMs: number, answer: AnswerNotice])[];
  readonly events: readonly string[];
}[] = [
  { name: 'nothing', answers: [[0, NOTHING_STATED]], events: [] },
  {
    name: 'a departure in many answers',
    answers: Array.from({ length: 50 }, () => [10, LEAVING] as const),
    events: ['server-departure-stated'],
  },
  {
    name: 'a pause in many refusals',
    answers: Array.from({ length: 50 }, () => [10, pauseOf(3_000)] as const),
    events: ['server-pause-stated'],
  },
  {
    name: 'a pause, and an answer after it',
    answers: [
      [0, pauseOf(1_000)],
      [1_001, NOTHING_STATED],
      [1, NOTHING_STATED],
    ],
    events: ['server-pause-stated', 'server-pause-ended'],
  },
  {
    name: 'a malformed value in every answer',
    answers: Array.from({ length: 50 }, () => [10, MALFORMED] as const),
    events: ['server-notice-malformed'],
  },
];

describe('the log of what a server states', () => {
  for (const { name, answers, events } of HISTORIES) {
    it(`has one line for each change: ${name}`, () => {
      const { clock, logger, notices } = createLoneInstance();
      for (const [afterMs, answer] of answers) {
        clock.advanceBy(afterMs);
        notices.observe(answer);
      }
      assert.deepEqual(
        logger.lines.map(({ definition }) => definition.name),
        events,
      );
    });
  }
});

const TICK_MS = 50;
/** Share of the messages between instances that are lost. */
const LOSS_SHARE = 0.2;

/** Creates the instances of one region; messages between them arrive at the next tick, or are lost. */
function createRegion(instanceIds: readonly string[], seed: number) {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const inTransit: (() => void)[] = [];
  let messages = 0;
  const learnedBy = new Set<string>();
  const byAddress = new Map<string, ServerNotices>();
  const peerOf = (instanceId: string) => ({ instanceId, region: 'north', address: instanceId });
  for (const instanceId of instanceIds) {
    const notices = createServerNotices({
      clock,
      logger: createMemoryLogger(),
      self: () => peerOf(instanceId),
      peers: () => instanceIds.filter((other) => other !== instanceId).map(peerOf),
      send(address, text) {
        messages += 1;
        if (random.next() >= LOSS_SHARE) {
          inTransit.push(() => byAddress.get(address)?.receive(text));
        }
      },
      onDeparture: () => learnedBy.add(instanceId),
      checkHealth() {},
    });
    byAddress.set(instanceId, notices);
  }
  return {
    learnedBy,
    messages: () => messages,
    observe: (instanceId: string, notice: AnswerNotice) =>
      byAddress.get(instanceId)?.observe(notice),
    runFor(ms: number) {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
        clock.advanceBy(TICK_MS);
        for (const deliver of inTransit.splice(0)) deliver();
        for (const notices of byAddress.values()) notices.runDue();
      }
    },
  };
}

// Guards against requests of instances that have had no answer of a leaving server: only some send to it, and the
// published state, which would show the departure to all, cannot be read.
describe('a departure that a server states to one instance', () => {
  for (const { instances, observers, withinMs } of [
    { instances: 2, observers: 2, withinMs: 5_000 },
    { instances: 6, observers: 6, withinMs: 5_000 },
    { instances: 300, observers: 1, withinMs: 30_000 },
  ]) {
    it(`reaches all ${instances} instances of the region although messages are lost`, () => {
      const ids = Array.from({ length: instances }, (_, index) => `i-${index}`);
      for (const observer of ids.slice(0, observers)) {
        const region = createRegion(ids, instances);
        region.observe(observer, LEAVING);
        region.runFor(withinMs);
        assert.equal(region.learnedBy.size, instances);
      }
    });
  }

  it('is not told by each instance to each other if all learn of it at once', () => {
    const ids = Array.from({ length: 300 }, (_, index) => `i-${index}`);
    const region = createRegion(ids, 1);
    for (const id of ids) region.observe(id, LEAVING);
    region.runFor(10_000);
    // Up to six reports of each instance, two announcements while it is new, and then one every 3 s.
    assert.ok(region.messages() <= ids.length * (6 + 2 + 4), `${region.messages()} messages`);
  });
});
