import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { createDraining } from './create-draining';
import { decideDrain } from './decide-drain';
import type { DrainStep } from './decide-drain';
import { DRAINING_EVENTS } from './events';

const noOpenWork = { callerRequests: 0, peerRequests: 0 };

describe('the steps of a planned stop', () => {
  const cases: readonly {
    readonly name: string;
    readonly nowMs: number;
    readonly openWork?: Partial<typeof noOpenWork>;
    readonly holds?: readonly string[];
    readonly lastArrivalAtMs?: number;
    readonly expected: DrainStep;
  }[] = [
    {
      name: 'during the notice',
      nowMs: 2_999,
      expected: { kind: 'stay', phase: 'leaving' },
    },
    { name: 'after the notice, no open work', nowMs: 3_000, expected: { kind: 'done' } },
    {
      name: 'after the notice, a request from a caller is open',
      nowMs: 3_000,
      openWork: { callerRequests: 1 },
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      // The caller behind a peer, in another region, would lose its answer just as a caller of this instance would.
      name: 'after the notice, a request from a peer is open',
      nowMs: 600_000,
      openWork: { peerRequests: 1 },
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      name: 'after the notice, a hold is active',
      nowMs: 3_000,
      holds: ['tickets'],
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      // A request that a caller sends on a kept connection while the connection is being closed is reset.
      name: 'after the notice, a request arrived a moment ago',
      nowMs: 3_100,
      lastArrivalAtMs: 2_800,
      expected: { kind: 'stay', phase: 'refusing' },
    },
    {
      name: 'after the notice, no recent request',
      nowMs: 3_300,
      lastArrivalAtMs: 2_800,
      expected: { kind: 'done' },
    },
    {
      name: 'long after the notice, a caller keeps sending requests',
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
        openWork: { ...noOpenWork, ...openWork },
        holds: holds ?? [],
      });
      assert.deepEqual(step, expected);
    });
  }
});

describe('a planned stop', () => {
  it('waits for open work and holds, and counts the requests served and refused since it began', async () => {
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
    draining.recordRefusal();
    late[Symbol.dispose]();
    early[Symbol.dispose]();
    early[Symbol.dispose]();
    await clock.advanceByAsync(1_000);
    assert.equal(isDone, false);
    isHeld = false;
    await clock.advanceByAsync(1_000);
    assert.equal(isDone, true);
    assert.deepEqual(draining.openWork(), noOpenWork);
    const [line] = logger.of(DRAINING_EVENTS.drained);
    assert.deepEqual(line?.fields, { servedWhileLeaving: 1, refused: 1 });
  });
});
