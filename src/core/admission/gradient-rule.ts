import type { LimitWindow } from './types';

/**
 * Stretch up to which a limit grows. A full batch makes each request of an engine 1.5 to 2 times as slow as
 * alone while it raises throughput twentyfold; past that only the latency grows. A plain server's calls take
 * as long as alone until its workers are busy, so any stretch there is waiting. The limit of a whole service
 * is there for fleets in which an instance seldom has a second request at a server; where servers' own limits
 * can act it has to leave them alone, so it tolerates more.
 */
export const STRETCH_TOLERANCE = { engine: 3, plain: 1.05, service: 4 } as const;

/** Least share of a limit that one window leaves, so that one odd window does not close a server. */
const LEAST_KEPT_SHARE = 0.7;

/** Use of a limit from which a window without strain lets it grow; an unused limit says nothing. */
const USED_SHARE = 0.8;

/** Growth of a limit in a window, as a share of it; at least a part of a request. */
const GROWTH_SHARE = 0.05;

/**
 * Part of a request by which a limit grows at least. Several instances that each go from one to two requests
 * at once would double what a server has.
 */
const GROWTH_REQUESTS = 0.1;

/**
 * Latency gradient: the limit shrinks in proportion to how far the stretch is above the tolerance, and grows by
 * a little where it was used and the stretch is below. A fixed limit is wrong as soon as the mix of work, the
 * version of a model or the number of instances changes: too low it wastes servers, too high it moves the queue
 * into them, where neither priority nor fairness reaches it.
 */
export function gradientRule(window: LimitWindow, tolerance: number): number {
  const { limitUnits, peakUnits, meanRequestUnits, stretch } = window;
  if (stretch > tolerance) return limitUnits * Math.max(LEAST_KEPT_SHARE, tolerance / stretch);
  if (peakUnits < USED_SHARE * limitUnits) return limitUnits;
  return limitUnits + Math.max(GROWTH_REQUESTS * meanRequestUnits, GROWTH_SHARE * limitUnits);
}
