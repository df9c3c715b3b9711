import type { EngineDemand, WorkEstimate } from './types';

/**
 * Weight of an output token: the number of prompt tokens that an engine computes in the same time.
 *
 * Engines compute many prompt tokens at once, but generate output one token per step. An engine that computes 10,000
 * prompt tokens/s generates about 1,000 tokens/s over its whole batch, hence 10. Without this weight, a request that
 * generates 2,000 tokens would count less than one that only has a long prompt.
 */
export const OUTPUT_TOKEN_WEIGHT = 10;

/** Returns the work of a request to an engine that is expected to generate `outputTokens`. */
export function engineWork(demand: EngineDemand, outputTokens: number): WorkEstimate {
  const units = demand.promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
  return { ...demand, outputTokens, units: Math.max(1, units) };
}

/** Work of a call to a plain service: one unit, since its duration cannot be predicted. */
export const PLAIN_WORK: WorkEstimate = {
  promptTokens: 0,
  maxOutputTokens: 0,
  outputTokens: 0,
  units: 1,
  prefixes: [],
};
