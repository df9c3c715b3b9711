import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createReturnSchedule } from '.';

const KIND = 'chat/1';
const LONGEST_MS = 2_000;
const LEAST_MS = 200;

/** Lets requests in at an even rate until `untilMs`. */
function admitEvenly(
  schedule: ReturnType<typeof createReturnSchedule>,
  gapMs: number,
  untilMs: number,
): void {
  for (let nowMs = 0; nowMs <= untilMs; nowMs += gapMs) schedule.noteAdmitted(KIND, nowMs);
}

describe('callers that are refused', () => {
  // Servers let twenty requests a second in, and forty callers are refused in one moment. If all of them came back
  // after the same time, most would be refused again and give up.
  it('come back one after the other, no faster than requests are let in', () => {
    const schedule = createReturnSchedule(LONGEST_MS);
    admitEvenly(schedule, 50, 5_000);
    const waits = Array.from({ length: 30 }, () => schedule.nextReturnMs(KIND, LEAST_MS, 5_000));
    assert.equal(waits[0], LEAST_MS);
    const gaps = waits.slice(1).map((waitMs, index) => waitMs - (waits[index] ?? 0));
    assert.ok(
      gaps.every((gapMs) => Math.abs(gapMs - 50) < 1),
      gaps.join(' '),
    );
  });

  it('are never sent away for longer than they would wait', () => {
    const schedule = createReturnSchedule(LONGEST_MS);
    const waits = Array.from({ length: 500 }, () => schedule.nextReturnMs(KIND, LEAST_MS, 0));
    assert.ok(waits.every((waitMs) => waitMs >= LEAST_MS && waitMs <= LONGEST_MS));
  });

  it('come back as early as may be once the line has passed', () => {
    const schedule = createReturnSchedule(LONGEST_MS);
    for (let count = 0; count < 20; count += 1) schedule.nextReturnMs(KIND, LEAST_MS, 0);
    assert.equal(schedule.nextReturnMs(KIND, LEAST_MS, 10_000), LEAST_MS);
  });

  it('of one kind do not wait for those of another', () => {
    const schedule = createReturnSchedule(LONGEST_MS);
    for (let count = 0; count < 100; count += 1) schedule.nextReturnMs(KIND, LEAST_MS, 0);
    assert.equal(schedule.nextReturnMs('orders/0', LEAST_MS, 0), LEAST_MS);
  });

  // A quiet night is followed by a burst. The long gaps of the night say nothing about what the servers bear.
  it('are not kept away for long because few asked before', () => {
    const schedule = createReturnSchedule(LONGEST_MS);
    admitEvenly(schedule, 60_000, 600_000);
    schedule.nextReturnMs(KIND, LEAST_MS, 600_000);
    assert.ok(schedule.nextReturnMs(KIND, LEAST_MS, 600_000) <= LEAST_MS + 500);
  });
});
