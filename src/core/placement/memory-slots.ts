import type { ModelDemand } from './types';

/** Sizes of the open requests of this instance at a server. */
export interface OpenSizes {
  readonly requests: number;
  /** Tokens of their own prompt parts and expected answers. */
  readonly tokens: number;
}

/** Returns the tokens of a request that a server keeps for it alone: its own prompt part and its expected answer. */
export function ownTokens({ parts, promptTokens, maxOutputTokens = 0 }: ModelDemand): number {
  return (parts.at(-1)?.tokens ?? promptTokens) + maxOutputTokens;
}

/**
 * Returns how many requests fit into the memory of a server, by the mean size of its open requests and the new one;
 * undefined if the memory or the size of the request is not stated.
 *
 * Without this bound, a server with free slots but a full memory looks idle: it gets long prompts that it queues, while
 * others could start them. A server keeps a shared prompt part only once. Therefore the shared parts of the new request
 * are subtracted from the memory once, instead of being added to the size of each request.
 */
export function memorySlots(
  memoryTokens: number | undefined,
  demand: ModelDemand | undefined,
  open: OpenSizes,
): number | undefined {
  if (memoryTokens === undefined || demand === undefined) return undefined;
  const own = ownTokens(demand);
  const meanTokens = (open.tokens + own) / (open.requests + 1);
  if (!(meanTokens > 0)) return undefined;
  const sharedTokens = demand.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  return Math.max(1, Math.floor((memoryTokens - sharedTokens) / meanTokens));
}
