import type { LimitWindow } from './types';

/**
 * Stretch (latency relative to that at little load) up to which a limit grows. In a full batch, each request of an
 * engine is 1.5 to 2 times as slow as alone while throughput rises twentyfold; beyond that only the latency grows.
 * Requests to a plain server take as long as alone until its workers are busy, so any stretch there is waiting. The
 * limit of a whole service is meant for fleets in which an instance seldom has a second request at a server. It must
 * not interfere where the limits of single servers can act, so it tolerates more.
 */
export const STRETCH_TOLERANCE = { engine: 3, plain: 1.05, service: 4 } as const;

/** Minimum factor that one window applies to a limit, so that a single outlier does not close a server. */
const MIN_WINDOW_FACTOR = 0.7;

/**
 * Use of the limit from which a window without overload lets it grow. The latency under an unused limit says
 * nothing about it.
 */
const MIN_USE_TO_GROW = 0.8;

/** Growth of a limit per window, as a share of it; `MIN_GROWTH_REQUESTS` is the minimum. */
const GROWTH_SHARE = 0.05;

/**
 * Minimum growth per window, in requests. If several instances each went from one to two requests at once, they
 * would double the load of a server.
 */
const MIN_GROWTH_REQUESTS = 0.1;

/**
 * Computes the next limit by the latency gradient: the limit decreases in proportion to how far the stretch exceeds
 * the tolerance, and grows slightly if it was used and the stretch is within the tolerance.
 *
 * A fixed limit is wrong as soon as the mix of requests, the version of a model or the number of instances changes.
 * If it is too low, servers are underused; if too high, requests queue inside the servers, beyond the reach of
 * priority and fairness.
 */
export function gradientRule(window: LimitWindow, tolerance: number): number {
  const { limitUnits, peakUnits, meanRequestUnits, stretch } = window;
  if (stretch > tolerance) return limitUnits * Math.max(MIN_WINDOW_FACTOR, tolerance / stretch);
  if (peakUnits < MIN_USE_TO_GROW * limitUnits) return limitUnits;
  return limitUnits + Math.max(MIN_GROWTH_REQUESTS * meanRequestUnits, GROWTH_SHARE * limitUnits);
}
