import type { Candidate, ServicePace } from './types';

/**
 * Chooses the server with the least predicted time to its first byte, failures weighed in.
 *
 * Answers uneven load on servers that batch requests and cache prompts: sending each request to the least
 * loaded server reads shared prompts again on all of them, and sending it to the one that holds the prompt
 * piles requests up on the server of a popular prompt. One notices the first by prefill work that grows with
 * the number of servers, the second by a queue at one server beside idle ones. Waiting and reading again are
 * both time here, so they are weighed against one another in one unit. A fleet of tens of servers is looked
 * at whole: drawing two at random finds the one that holds a prompt only by luck.
 *
 * Failures count in the choice and not in the predicted time, by which requests are let in: where all servers fail
 * a part of their requests, the others are served as fast as ever, and refusing them too would double the harm.
 */

/** Share of a request's prefill by which it delays others that decode beside it; they run in one batch. */
const PENDING_WEIGHT = 0.7;

/**
 * Part of the slot time by which a full batch delays a first byte, which comes after a step or two of the others.
 */
const CROWDING_SHARE = 0.05;

/** Time to begin a copy between two caches, ms: a round trip within a region and a look-up. */
const COPY_SET_UP_MS = 6;

function copyMs(tokens: number, { copyMsPerToken = 0 }: ServicePace): number {
  return tokens === 0 ? 0 : COPY_SET_UP_MS + tokens * copyMsPerToken;
}

/** Predicted time to the first byte at a server, ms. */
export function predictFirstByteMs(candidate: Candidate, pace: ServicePace): number {
  const { slots, load, pendingTokens, uncachedTokens, copyableTokens, delayMs } = candidate;
  const waiting = Math.max(0, load + 1 - slots);
  const waitMs = (waiting * pace.slotTimeMs) / Math.max(1, slots);
  const crowdingMs =
    (Math.min(load, slots) / Math.max(1, slots)) * pace.slotTimeMs * CROWDING_SHARE;
  const readTokens = uncachedTokens - copyableTokens + pendingTokens * PENDING_WEIGHT;
  const prefillMs = readTokens * pace.prefillMsPerToken;
  return waitMs + crowdingMs + prefillMs + copyMs(copyableTokens, pace) + delayMs;
}

/** A server with what it is expected to take. */
export interface ServerChoice {
  readonly incarnationId: string;
  readonly predictedMs: number;
  /** Prompt tokens that it will probably have to read, those that it copies left out. */
  readonly readTokens: number;
}

/** The best of the candidates; undefined where there are none. */
export function chooseServer(
  candidates: readonly Candidate[],
  pace: ServicePace,
): ServerChoice | undefined {
  let best: ServerChoice | undefined;
  let leastCostMs = Infinity;
  for (const candidate of candidates) {
    const predictedMs = predictFirstByteMs(candidate, pace);
    const costMs = predictedMs + candidate.failureCostMs;
    if (costMs < leastCostMs) {
      const { incarnationId, uncachedTokens, copyableTokens } = candidate;
      best = { incarnationId, predictedMs, readTokens: uncachedTokens - copyableTokens };
      leastCostMs = costMs;
    }
  }
  return best;
}
