/** How fast a service gets work done for this instance, and how long its requests take. */
export interface ServiceRate {
  learn(units: number, latencyMs: number): void;
  /** Work a ms when `inFlightUnits` are in flight throughout; 0 before any answer. */
  unitsPerMs(inFlightUnits: number): number;
}

/** Weight of the latest answer: some dozens decide, so that a change of load shows within seconds. */
const WEIGHT = 0.03;

/**
 * Learns the rate by Little's law: work in flight = rate * mean time in flight, each request weighted by its work.
 * Counting what ends in a second would show demand rather than capacity while servers have room.
 */
export function createServiceRate(): ServiceRate {
  let meanUnits = 0;
  let meanUnitsMs = 0;
  return {
    learn(units, latencyMs) {
      const weight = meanUnits === 0 ? 1 : WEIGHT;
      meanUnits += weight * (units - meanUnits);
      meanUnitsMs += weight * (units * latencyMs - meanUnitsMs);
    },
    unitsPerMs: (inFlightUnits) =>
      meanUnitsMs === 0 ? 0 : (inFlightUnits * meanUnits) / meanUnitsMs,
  };
}
