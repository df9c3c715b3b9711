/** Rate at which a service completes work for this instance. */
export interface ServiceRate {
  learn(units: number, latencyMs: number): void;
  /** Returns the work completed per ms while `inFlightUnits` are in flight; 0 before any answer. */
  unitsPerMs(inFlightUnits: number): number;
}

/** Weight of the latest answer: a few dozen answers decide, so that a change of load shows within seconds. */
const ANSWER_WEIGHT = 0.03;

/**
 * Estimates the rate by Little's law: work in flight = rate * mean time in flight, with each request weighted by
 * its work. Counting the work that ends per second would measure demand rather than capacity while servers have
 * spare capacity.
 */
export function createServiceRate(): ServiceRate {
  let meanUnits = 0;
  let meanUnitsMs = 0;
  return {
    learn(units, latencyMs) {
      const weight = meanUnits === 0 ? 1 : ANSWER_WEIGHT;
      meanUnits += weight * (units - meanUnits);
      meanUnitsMs += weight * (units * latencyMs - meanUnitsMs);
    },
    unitsPerMs: (inFlightUnits) =>
      meanUnitsMs === 0 ? 0 : (inFlightUnits * meanUnits) / meanUnitsMs,
  };
}
