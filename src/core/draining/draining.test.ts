import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { createDraining } from './create-draining';
import { decideDrain } from './decide-drain';
import type { DrainStep } from './decide-drain';
import { DRAINING_EVENTS } from './events';

const nothing = { callerRequests: 0, peerRequests: 0 };

describe('the steps of a planned stop', () => {
  const cases: readonly {
    readonly name: string;
    readonly nowMs: number;
    readonly openWork?: Partial<typeof nothing>;
    readonly holds?: readonly string[];
    readonly lastArrivalAtMs?: number;
    readonly expected: DrainStep;
  }[] = [
    { name: 'while it is told', nowMs: 2_999, expected: { kind: 'stay', phase: 'leaving' } },
    { name: 'told, nothing open', nowMs: 3_000, expected: { kind: 'done' } },
    {
      name: 'told, a caller waits',
      nowMs: 3_000,
      openWork: { callerRequests: 1 },
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      // A peer's caller sits in another region and would lose its answer like one of this instance's own.
      name: 'told, a peer waits',
      nowMs: 600_000,
      openWork: { peerRequests: 1 },
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      name: 'told, something promised',
      nowMs: 3_000,
      holds: ['tickets'],
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      // A caller sends its next request on its kept connection just as that is closed: the request is reset.
      name: 'told, a request came a moment ago',
      nowMs: 3_100,
      lastArrivalAtMs: 2_800,
      expected: { kind: 'stay', phase: 'refusing' },
    },
    { name: 'told, quiet', nowMs: 3_300, lastArrivalAtMs: 2_800, expected: { kind: 'done' } },
    {
      name: 'told long ago, a caller comes again and again',
      nowMs: 13_000,
      lastArrivalAtMs: 12_990,
      expected: { kind: 'done' },
    },
  ];
  for (const { name, nowMs, openWork, holds, lastArrivalAtMs, expected } of cases) {
    it(name, () => {
      const step = decideDrain({
        nowMs,
        noticeEndsAtMs: 3_000,
        lastArrivalAtMs,
        openWork: { ...nothing, ...openWork },
        holds: holds ?? [],
      });
      assert.deepEqual(step, expected);
    });
  }
});

describe('a planned stop', () => {
  it('waits for open work and holds, and counts what came after it began', async () => {
    const clock = createFakeClock();
    const logger = createMemoryLogger();
    const draining = createDraining({ clock, logger, noticeMs: 1_000 });
    const early = draining.begin('peer');
    let isHeld = true;
    draining.addHold({ name: 'tickets', isHeld: () => isHeld });
    let isDone = false;
    void draining.run().then(() => {
      isDone = true;
    });
    assert.equal(draining.phase(), 'leaving');
    const late = draining.begin('caller');
    await clock.advanceByAsync(20_000);
    assert.equal(draining.phase(), 'refusing');
    draining.noteRefused();
    late[Symbol.dispose]();
    early[Symbol.dispose]();
    early[Symbol.dispose]();
    await clock.advanceByAsync(1_000);
    assert.equal(isDone, false);
    isHeld = false;
    await clock.advanceByAsync(1_000);
    assert.equal(isDone, true);
    assert.deepEqual(draining.openWork(), nothing);
    const [line] = logger.of(DRAINING_EVENTS.drained);
    assert.deepEqual(line?.fields, { servedWhileLeaving: 1, refused: 1 });
  });
});
