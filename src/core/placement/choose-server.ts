import { firstByteMs } from './first-byte-models';
import type { FirstByteInput, FirstByteModel } from './first-byte-models';
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

/** Time to begin a copy between two caches, ms: a round trip within a region and a look-up. */
const COPY_SET_UP_MS = 6;

function copyTimeMs(tokens: number, { copyMsPerToken = 0 }: ServicePace): number {
  return tokens === 0 ? 0 : COPY_SET_UP_MS + tokens * copyMsPerToken;
}

/** What a first byte waits for at a server. */
export function firstByteInput(candidate: Candidate, pace: ServicePace): FirstByteInput {
  const { slots, load, pendingTokens, uncachedTokens, copyableTokens } = candidate;
  const waiting = Math.max(0, load + 1 - slots);
  const queueMs = (waiting * pace.slotTimeMs) / Math.max(1, slots);
  return { readTokens: uncachedTokens - copyableTokens, pendingTokens, queueMs };
}

/** What a server's first bytes are predicted by. */
export interface ChoiceBasis {
  readonly pace: ServicePace;
  readonly model: FirstByteModel;
}

/**
 * What a ms of a stream that is under way weighs against a ms until a first byte. Streams are late by single pauses and
 * by being cut off, which both grow with the time that they take; a first byte is late by each ms.
 */
const STREAM_WEIGHT = 0.05;

/**
 * What choosing a server costs beside the time to the first byte, ms of that time.
 *
 * Answers long prompts beside long answers in one batch: a server reads a prompt in chunks between the steps of all its
 * streams, so that each of them waits for each chunk. Spread evenly, prompts hold up every stream of a region; one
 * notices event gaps of two to five times those of a server that reads nothing. So a prompt weighs the streams that
 * it would hold up, and a stream weighs how fast others went on there: prompts come together at some servers, and
 * streams at the others, as far as there are several.
 */
function disturbanceMs(candidate: Candidate, pace: ServicePace): number {
  const { load, uncachedTokens, copyableTokens, streamMs } = candidate;
  const readMs = (uncachedTokens - copyableTokens) * pace.prefillMsPerToken;
  return (readMs * load + streamMs) * STREAM_WEIGHT;
}

/** A server with what it is expected to take. */
export interface ServerChoice {
  readonly incarnationId: string;
  /** Predicted time to the first byte, ms. */
  readonly predictedMs: number;
  /** The same without what the server itself was late by lately, ms. */
  readonly usualMs: number;
  /** What the prediction rests on, for learning from what comes of it. */
  readonly input: FirstByteInput;
  /** Part of the prediction that is spent on copying from another cache, ms. */
  readonly copyMs: number;
}

/** The best of the candidates; undefined where there are none. */
export function chooseServer(
  candidates: readonly Candidate[],
  { pace, model }: ChoiceBasis,
): ServerChoice | undefined {
  let best: ServerChoice | undefined;
  let leastCostMs = Infinity;
  for (const candidate of candidates) {
    const input = firstByteInput(candidate, pace);
    const copyMs = copyTimeMs(candidate.copyableTokens, pace);
    const usualMs = firstByteMs(model, input) + copyMs;
    const predictedMs = usualMs + candidate.delayMs;
    const costMs = predictedMs + candidate.failureCostMs + disturbanceMs(candidate, pace);
    if (costMs < leastCostMs) {
      const { incarnationId } = candidate;
      best = { incarnationId, predictedMs, usualMs, input, copyMs };
      leastCostMs = costMs;
    }
  }
  return best;
}
