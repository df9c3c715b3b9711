import type { Candidate, ServiceSpeed } from './types';

/**
 * Selection of the server with the lowest predicted time to the first byte plus the expected cost of failures.
 *
 * Servers batch requests and cache prompts. If each request went to the least loaded server, every server would compute
 * the shared prompts, and prefill work would grow with the number of servers. If each went to the server that has
 * cached its prompt, the server of a popular prompt would have a queue while others are idle. Waiting and computing the
 * prompt again are both expressed as time, so they can be compared. All candidates of a fleet of tens of servers are
 * evaluated: a random pair would include the server that has cached the prompt only by chance.
 *
 * Failures affect the choice but not the predicted time, on which admission is based: if all servers fail some of their
 * requests, the others are served as fast as before, and refusing them as well would double the damage.
 */

/** Weight of pending prefill time: the share of it by which a prefill delays the requests decoding in its batch. */
const PENDING_PREFILL_WEIGHT = 0.7;

/** Share of the slot time by which a full batch delays a first byte: one or two decoding steps of the others. */
const BATCH_DELAY_SHARE = 0.05;

/** Time to start a copy between two caches, ms: a round trip within a region and a lookup. */
const COPY_SETUP_MS = 6;

function copyMs(tokens: number, { copyMsPerToken = 0 }: ServiceSpeed): number {
  return tokens === 0 ? 0 : COPY_SETUP_MS + tokens * copyMsPerToken;
}

/** Returns the predicted time to the first byte at a server, ms. */
export function predictFirstByteMs(candidate: Candidate, speed: ServiceSpeed): number {
  const { delayMs, speedFactor } = candidate;
  const usualMs = predictWithoutDelayMs(candidate, speed, 1);
  const slowMs = predictWithoutDelayMs(candidate, speed, speedFactor);
  // Late first bytes of a slow server raise both its speed factor and its delay, so only the larger effect counts.
  return usualMs + Math.max(slowMs - usualMs, delayMs + Math.min(0, slowMs - usualMs));
}

/** Returns the predicted time to the first byte without the delay expected from silence and lateness, ms. */
function predictWithoutDelayMs(
  candidate: Candidate,
  speed: ServiceSpeed,
  speedFactor: number,
): number {
  const { slotWaitMs, batchMs, otherPromptsMs, ownPromptMs } = usualParts(candidate, speed);
  const workMs = slotWaitMs + batchMs + otherPromptsMs + ownPromptMs;
  return workMs * speedFactor + copyMs(candidate.copyableTokens, speed);
}

/** Returns the parts of a prediction for a server of usual speed, without copies between caches. */
function usualParts(
  candidate: Candidate,
  speed: ServiceSpeed,
): Omit<PredictionParts, 'copyMs' | 'slownessMs' | 'latenessMs'> {
  const { load, pendingTokens, uncachedTokens, copyableTokens, memorySlots = Infinity } = candidate;
  // Requests beyond the server's memory wait, even if the server has a slot for them.
  const slots = Math.min(candidate.slots, memorySlots);
  const queued = Math.max(0, load + 1 - slots);
  const busyShare = Math.min(load, slots) / Math.max(1, slots);
  return {
    slotWaitMs: (queued * speed.slotTimeMs) / Math.max(1, slots),
    batchMs: busyShare * speed.slotTimeMs * BATCH_DELAY_SHARE,
    otherPromptsMs: pendingTokens * PENDING_PREFILL_WEIGHT * speed.prefillMsPerToken,
    ownPromptMs: (uncachedTokens - copyableTokens) * speed.prefillMsPerToken,
  };
}

/** Returns the parts of the prediction for a server; their sum is the predicted time to the first byte. */
function predictionParts(candidate: Candidate, speed: ServiceSpeed): PredictionParts {
  const { delayMs, speedFactor, copyableTokens } = candidate;
  const usualMs = predictWithoutDelayMs(candidate, speed, 1);
  const slownessMs = predictWithoutDelayMs(candidate, speed, speedFactor) - usualMs;
  const lateMs = delayMs + Math.min(0, slownessMs);
  const isSlownessLarger = slownessMs >= lateMs;
  return {
    ...usualParts(candidate, speed),
    copyMs: copyMs(copyableTokens, speed),
    slownessMs: isSlownessLarger ? slownessMs : 0,
    latenessMs: isSlownessLarger ? 0 : lateMs,
  };
}

/** What a predicted time to the first byte consists of, ms, before its correction. */
export interface PredictionParts {
  /** Wait for a free slot. */
  readonly slotWaitMs: number;
  /** Steps of the batch that the request joins. */
  readonly batchMs: number;
  /** Prompts of other requests that the server reads before. */
  readonly otherPromptsMs: number;
  /** The request's own prompt, without what is copied. */
  readonly ownPromptMs: number;
  /** Copies from the cache of another server. */
  readonly copyMs: number;
  /** What the server's work takes longer than usual; negative for a fast server. */
  readonly slownessMs: number;
  /** Delay that is expected from recent silence and lateness of the server. */
  readonly latenessMs: number;
}

/** A selected server and the predicted cost of the request there. */
export interface ServerChoice {
  readonly incarnationId: string;
  readonly predictedMs: number;
  /** Prediction for a server of usual speed with the same load. */
  readonly usualMs: number;
  /** Estimated prompt tokens that the server has to compute, without those that it copies. */
  readonly prefillTokens: number;
  readonly parts: PredictionParts;
}

/** Returns the best candidate; undefined if there are none. */
export function chooseServer(
  candidates: readonly Candidate[],
  speed: ServiceSpeed,
): ServerChoice | undefined {
  let best: Omit<ServerChoice, 'parts'> | undefined;
  let bestCandidate: Candidate | undefined;
  let minCostMs = Infinity;
  for (const candidate of candidates) {
    const predictedMs = predictFirstByteMs(candidate, speed);
    const costMs = predictedMs + candidate.failureCostMs;
    if (costMs < minCostMs) {
      const { incarnationId, uncachedTokens, copyableTokens } = candidate;
      best = {
        incarnationId,
        predictedMs,
        usualMs: predictWithoutDelayMs(candidate, speed, 1),
        prefillTokens: uncachedTokens - copyableTokens,
      };
      bestCandidate = candidate;
      minCostMs = costMs;
    }
  }
  if (best === undefined || bestCandidate === undefined) return undefined;
  return { ...best, parts: predictionParts(bestCandidate, speed) };
}
