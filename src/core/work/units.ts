import type { PrefixBlock, WorkEstimate } from './types';

/**
 * Prompt tokens that take an engine as long as one output token.
 *
 * Engines compute a prompt many tokens at a time, and output one token a step. An engine that computes
 * 10,000 prompt tokens/s generates some 600 tokens/s over its whole batch, hence 16. Without a weight a
 * request for 2,000 tokens of text would count less than one that merely carries a long prompt.
 */
export const OUTPUT_TOKEN_WEIGHT = 16;

/** Work of a request to an engine. */
export function engineWork(
  promptTokens: number,
  outputTokens: number,
  prefixes: readonly PrefixBlock[] = [],
): WorkEstimate {
  const units = promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
  return { promptTokens, outputTokens, units: Math.max(1, units), prefixes };
}

/** Work of a call to a plain service: one unit, since nothing tells beforehand how long a call takes. */
export const PLAIN_WORK: WorkEstimate = {
  promptTokens: 0,
  outputTokens: 0,
  units: 1,
  prefixes: [],
};
