import type { LimitWindow } from '../../src/core/admission';

/** Additive increase, multiplicative decrease: the rule that the gradient was weighed against. */

const DECREASE = 0.9;
const USED_SHARE = 0.8;

/** One request more where the limit was used without strain, a tenth less with it. */
export function aimdRule(window: LimitWindow, tolerance: number): number {
  const { limitUnits, peakUnits, meanRequestUnits, stretch } = window;
  if (stretch > tolerance) return limitUnits * DECREASE;
  return peakUnits < USED_SHARE * limitUnits ? limitUnits : limitUnits + meanRequestUnits;
}
