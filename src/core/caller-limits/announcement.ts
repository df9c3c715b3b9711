import { z } from 'zod';
import type { RandomSource } from '../random';
import type { AccountLimit } from './types';

/**
 * When an instance tells the others what a caller asks of it.
 *
 * Answers the size of the fleet: 340 instances that told of 18,000 accounts each few seconds would spend a
 * hundred times what control may cost. Only demand that is a notable part of the limit is told exactly, and only
 * when it changed. Demand below that is told by chance, as if it were that part, in such a proportion that the
 * sum over all instances is right on average: without it, a caller could stay below the mark at each of many
 * instances and get many times its limit.
 */
export interface Announcement {
  readonly perSecond: number;
  readonly atMs: number;
  /** Whether the number was told by chance, for a smaller demand; it then lapses and is not withdrawn. */
  readonly isDrawn: boolean;
}

/** What instances tell one another about a caller. */
export const announcementSchema = z.strictObject({ perSecond: z.number().min(0) });

/** Time for which exact demand stands once told, ms. */
export const ANNOUNCEMENT_LASTS_MS = 15_000;
/** The same for demand told by chance: the longer it stands, the fewer have to be told, ms. */
export const DRAWN_LASTS_MS = 60_000;
/** An announcement is made again after this time, so that it never lapses while demand lasts, ms. */
const REPEAT_AFTER_MS = 10_000;
/** Shortest time between two announcements of one caller, ms. */
const LEAST_GAP_MS = 500;
/** Demand that rose by this factor since it was told is told again at once. */
const ROSE_BY = 1.5;
/** Demand that fell to this part of what was told is told again; the rest is left to lapse. */
const FELL_TO = 0.5;
/** Notable part of the limit in a small fleet, and in the largest. */
const FINEST_PART = 1 / 32;
const COARSEST_PART = 1 / 4;
/** The part grows with the fleet: at 1,000 instances it would be the whole limit. */
const INSTANCES_FOR_WHOLE = 1_000;

/** Whether demand has fallen so far below what was told that the others should know. */
export function hasFallen(demandPerSecond: number, last: Announcement, nowMs: number): boolean {
  if (last.isDrawn) return false;
  return nowMs - last.atMs >= LEAST_GAP_MS && demandPerSecond < FELL_TO * last.perSecond;
}

/** Demand from which on it is told exactly, requests/s. */
export function notableDemand({ requestsPerSecond }: AccountLimit, instances: number): number {
  const part = Math.min(COARSEST_PART, Math.max(FINEST_PART, instances / INSTANCES_FOR_WHOLE));
  return requestsPerSecond * part;
}

/** The demand to tell now; undefined to tell nothing. `last` is what was told before, or that nothing was. */
export function demandToTell(
  demandPerSecond: number,
  notablePerSecond: number,
  last: Announcement,
  nowMs: number,
  random: RandomSource,
): Announcement | undefined {
  const ageMs = nowMs - last.atMs;
  if (ageMs < LEAST_GAP_MS) return undefined;
  if (demandPerSecond >= notablePerSecond) {
    const changed =
      demandPerSecond > ROSE_BY * last.perSecond || hasFallen(demandPerSecond, last, nowMs);
    const isDue = ageMs >= REPEAT_AFTER_MS;
    return isDue || changed
      ? { perSecond: demandPerSecond, atMs: nowMs, isDrawn: false }
      : undefined;
  }
  // Each request stands for itself, so that the sum is right on average however seldom a caller sends.
  const share = 1_000 / (notablePerSecond * DRAWN_LASTS_MS);
  if (random.next() >= share) return undefined;
  return { perSecond: notablePerSecond, atMs: nowMs, isDrawn: true };
}

/** Time for which an announcement stands, ms. */
export function lastsMs({ isDrawn }: Announcement): number {
  return isDrawn ? DRAWN_LASTS_MS : ANNOUNCEMENT_LASTS_MS;
}
