import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryAfterSchedule } from '.';
import type { RefusedRequest } from '.';

const SERVICE = 'chat';
const MAX_DELAY_MS = 2_000;
const MIN_DELAY_MS = 200;
const REFUSED = {
  service: SERVICE,
  priority: 1,
  minDelayMs: MIN_DELAY_MS,
  latestRetryAtMs: Infinity,
};

type Schedule = ReturnType<typeof createRetryAfterSchedule>;

/** Returns the delay of a refused request; fails if it gets none. */
function delayOf(schedule: Schedule, request: RefusedRequest, nowMs: number): number {
  const delayMs = schedule.nextRetryAfterMs(request, nowMs);
  assert.ok(delayMs !== undefined, 'the request gets a time to retry');
  return delayMs;
}

/** Admits requests at a constant rate until `untilMs`. */
function admitEvenly(schedule: Schedule, intervalMs: number, untilMs: number): void {
  for (let nowMs = 0; nowMs <= untilMs; nowMs += intervalMs) {
    schedule.recordAdmitted(SERVICE, nowMs);
  }
}

describe('refused callers', () => {
  // Servers accept 20 requests/s, and forty callers are refused at the same time. If all of them retried after the same
  // delay, most would be refused again and give up.
  it('retry one after the other, no faster than requests are admitted', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    admitEvenly(schedule, 50, 5_000);
    const delays = Array.from({ length: 30 }, () => delayOf(schedule, REFUSED, 5_000));
    assert.equal(delays[0], MIN_DELAY_MS);
    const intervals = delays.slice(1).map((delayMs, index) => delayMs - (delays[index] ?? 0));
    assert.ok(
      intervals.every((intervalMs) => Math.abs(intervalMs - 50) < 1),
      intervals.join(' '),
    );
  });

  it('never get a delay above the maximum', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    const delays = Array.from({ length: 500 }, () => delayOf(schedule, REFUSED, 0));
    assert.ok(delays.every((delayMs) => delayMs >= MIN_DELAY_MS && delayMs <= MAX_DELAY_MS));
  });

  it('get the minimum delay once all scheduled retries have passed', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    for (let count = 0; count < 20; count += 1) delayOf(schedule, REFUSED, 0);
    assert.equal(delayOf(schedule, REFUSED, 10_000), MIN_DELAY_MS);
  });

  it('of one service are not delayed by those of another', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    for (let count = 0; count < 100; count += 1) delayOf(schedule, REFUSED, 0);
    assert.equal(delayOf(schedule, { ...REFUSED, service: 'orders' }, 0), MIN_DELAY_MS);
  });

  // Urgent and other requests to the same servers are refused in turn. With a schedule for each kind, both would return
  // at the rate of all admitted requests, twice as many as are admitted.
  it('of all kinds together return no faster than requests are admitted, the more urgent first', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    admitEvenly(schedule, 50, 5_000);
    const refuse = (priority: number) => delayOf(schedule, { ...REFUSED, priority }, 5_000);
    const urgent = Array.from({ length: 10 }, () => refuse(0));
    const others = Array.from({ length: 10 }, () => refuse(2));
    const all = [...urgent, ...others];
    assert.equal(all[0], MIN_DELAY_MS);
    const intervals = all.slice(1).map((delayMs, index) => delayMs - (all[index] ?? 0));
    assert.ok(
      intervals.every((intervalMs) => Math.abs(intervalMs - 50) < 1),
      intervals.join(' '),
    );
  });

  // Many less urgent callers were refused first. If the urgent ones were scheduled behind them, they would return late.
  it('that are more urgent do not wait for less urgent ones, which then return later', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    admitEvenly(schedule, 50, 5_000);
    const refuse = (priority: number) => delayOf(schedule, { ...REFUSED, priority }, 5_000);
    refuse(2);
    const before = refuse(2);
    assert.equal(refuse(0), MIN_DELAY_MS);
    assert.ok(Math.abs(refuse(2) - before - 100) < 1);
  });

  // A caller that gives up before its turn would take a place that another could use.
  it('get no time if they could not be served before their deadline, and take no place', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    const tooLate = { ...REFUSED, latestRetryAtMs: MIN_DELAY_MS - 1 };
    assert.equal(schedule.nextRetryAfterMs(tooLate, 0), undefined);
    assert.equal(delayOf(schedule, REFUSED, 0), MIN_DELAY_MS);
  });

  // A quiet night is followed by a burst. The long intervals of the night say nothing about the capacity of servers.
  it('do not get long delays because few requests arrived before', () => {
    const schedule = createRetryAfterSchedule(MAX_DELAY_MS);
    admitEvenly(schedule, 60_000, 600_000);
    delayOf(schedule, REFUSED, 600_000);
    assert.ok(delayOf(schedule, REFUSED, 600_000) <= MIN_DELAY_MS + 500);
  });
});
