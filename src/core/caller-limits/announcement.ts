import { z } from 'zod';
import type { RandomSource } from '../random';
import type { AccountLimit } from './types';

/**
 * The latest demand of a caller that this instance sent to the other instances.
 *
 * Announcing everything does not scale: with 340 instances, reporting 18,000 accounts every few seconds would cost
 * a hundred times the budget for control traffic. So only demand that is a considerable share of the limit is
 * announced exactly, and only when it changes. Smaller demand is sampled: with a probability in proportion to the
 * demand, the instance announces a demand equal to that share, so that the sum over all instances is right on
 * average. Without sampling, a caller could stay below the threshold at each of many instances and get many times
 * its limit.
 */
export interface Announcement {
  readonly perSecond: number;
  readonly atMs: number;
  /** Whether the number stands for a smaller, sampled demand. It then expires and is never withdrawn. */
  readonly isSampled: boolean;
}

/** Payload that instances exchange about the demand of a caller. */
export const announcementSchema = z.strictObject({ perSecond: z.number().min(0) });

/** Time for which an announcement of exact demand is valid, ms. */
export const EXACT_TTL_MS = 15_000;
/** Time for which a sampled announcement is valid, ms. The longer it is, the fewer are needed. */
export const SAMPLED_TTL_MS = 60_000;
/** Interval after which an announcement is repeated while demand lasts, so that it never expires, ms. */
const REPEAT_INTERVAL_MS = 10_000;
/** Minimum interval between two announcements for one caller, ms. */
const MIN_INTERVAL_MS = 500;
/** Demand that rose by this factor since the last announcement is announced again at once. */
const RISE_FACTOR = 1.5;
/**
 * Demand that fell to this share of the last announcement is announced again. Smaller drops wait until it expires.
 */
const FALL_FACTOR = 0.5;
/**
 * Bounds of the share of the limit from which demand is announced exactly. Small fleets use the minimum, the largest
 * the maximum.
 */
const MIN_EXACT_SHARE = 1 / 32;
const MAX_EXACT_SHARE = 1 / 4;
/** The share grows with the fleet and, without a maximum, would be the whole limit at this number of instances. */
const INSTANCES_FOR_FULL_SHARE = 1_000;

/** Returns whether demand has fallen so far below the last announcement that the others should be informed. */
export function hasFallen(demandPerSecond: number, last: Announcement, nowMs: number): boolean {
  if (last.isSampled) return false;
  return nowMs - last.atMs >= MIN_INTERVAL_MS && demandPerSecond < FALL_FACTOR * last.perSecond;
}

/** Returns the minimum demand that is announced exactly, requests/s. */
export function exactDemandThreshold(
  { requestsPerSecond }: AccountLimit,
  instances: number,
): number {
  const share = Math.min(
    MAX_EXACT_SHARE,
    Math.max(MIN_EXACT_SHARE, instances / INSTANCES_FOR_FULL_SHARE),
  );
  return requestsPerSecond * share;
}

/**
 * Returns the announcement to send now, or undefined if none is due. `last` is the one sent before, or a
 * placeholder for none.
 */
export function demandToAnnounce(
  demandPerSecond: number,
  thresholdPerSecond: number,
  last: Announcement,
  nowMs: number,
  random: RandomSource,
): Announcement | undefined {
  const ageMs = nowMs - last.atMs;
  if (ageMs < MIN_INTERVAL_MS) return undefined;
  if (demandPerSecond >= thresholdPerSecond) {
    const hasChanged =
      demandPerSecond > RISE_FACTOR * last.perSecond || hasFallen(demandPerSecond, last, nowMs);
    const isDue = ageMs >= REPEAT_INTERVAL_MS;
    return isDue || hasChanged
      ? { perSecond: demandPerSecond, atMs: nowMs, isSampled: false }
      : undefined;
  }
  // Each request draws independently, so that the sum is right on average however rarely a caller sends.
  const probability = 1_000 / (thresholdPerSecond * SAMPLED_TTL_MS);
  if (random.next() >= probability) return undefined;
  return { perSecond: thresholdPerSecond, atMs: nowMs, isSampled: true };
}

/** Returns the time for which an announcement is valid, ms. */
export function announcementTtlMs({ isSampled }: Announcement): number {
  return isSampled ? SAMPLED_TTL_MS : EXACT_TTL_MS;
}
