import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryAfterSchedule } from '.';

const KIND = 'chat/1';
const MAX_DELAY_MS = 2_000;
const MIN_DELAY_MS = 200;

/** Admits requests at a constant rate until `untilMs`. */
function admitEvenly(
  schedule: ReturnType<typeof createRetryAfterSchedule>,
  intervalMs: number,
  untilMs: number,
): void {
  for (let nowMs = 0; nowMs <= untilMs; nowMs += intervalMs) schedule.recordAdmitted(KIND, nowMs);
}

describe('refused callers', () => {
  // Servers accept 20 requests/s, and forty callers are refused at the same time. If all of them retried after the same
  // delay, most would be refused again and give up.
  it('retry one after the other, no faster than requests are admitted', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    admitEvenly(schedule, 50, 5_000);
    const delays = Array.from({ length: 30 }, () =>
      schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 5_000),
    );
    assert.equal(delays[0], MIN_DELAY_MS);
    const intervals = delays.slice(1).map((delayMs, index) => delayMs - (delays[index] ?? 0));
    assert.ok(
      intervals.every((intervalMs) => Math.abs(intervalMs - 50) < 1),
      intervals.join(' '),
    );
  });

  it('never get a delay above the maximum', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    const delays = Array.from({ length: 500 }, () =>
      schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 0),
    );
    assert.ok(delays.every((delayMs) => delayMs >= MIN_DELAY_MS && delayMs <= MAX_DELAY_MS));
  });

  it('get the minimum delay once all scheduled retries have passed', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    for (let count = 0; count < 20; count += 1) schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 0);
    assert.equal(schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 10_000), MIN_DELAY_MS);
  });

  it('of one kind are not delayed by those of another', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    for (let count = 0; count < 100; count += 1) schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 0);
    assert.equal(schedule.nextRetryAfterMs('orders/0', MIN_DELAY_MS, 0), MIN_DELAY_MS);
  });

  // A quiet night is followed by a burst. The long intervals of the night say nothing about the capacity of servers.
  it('do not get long delays because few requests arrived before', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    admitEvenly(schedule, 60_000, 600_000);
    schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 600_000);
    assert.ok(schedule.nextRetryAfterMs(KIND, MIN_DELAY_MS, 600_000) <= MIN_DELAY_MS + 500);
  });
});
