import type { EngineDemand, WorkEstimate } from './types';

/**
 * Prompt tokens that take an engine as long as one output token.
 *
 * Engines compute a prompt many tokens at a time, and output one token a step. An engine that computes
 * 10,000 prompt tokens/s generates some 1,000 tokens/s over its whole batch, hence 10. Without a weight a
 * request for 2,000 tokens of text would count less than one that merely carries a long prompt.
 */
export const OUTPUT_TOKEN_WEIGHT = 10;

/** Work of a request to an engine that will probably give `outputTokens`. */
export function engineWork(demand: EngineDemand, outputTokens: number): WorkEstimate {
  const units = demand.promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
  return { ...demand, outputTokens, units: Math.max(1, units) };
}

/** Work of a call to a plain service: one unit, since nothing tells beforehand how long a call takes. */
export const PLAIN_WORK: WorkEstimate = {
  promptTokens: 0,
  maxOutputTokens: 0,
  outputTokens: 0,
  units: 1,
  prefixes: [],
};
