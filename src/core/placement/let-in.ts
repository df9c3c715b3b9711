/** What is expected of a request at the best server of this region. */
export interface Expectation {
  /** Predicted time to the first byte, ms. */
  readonly predictedMs: number;
  /** The part of it that is the reading of the request's own prompt, ms. */
  readonly ownMs: number;
}

/**
 * Multiple of the latency objective that a request may be predicted to wait. Servers that are given more than
 * they finish in time answer all of it late; what is refused at once can come back, and the rest is in time.
 * Of 0.8, 1, 1.5 and 4 objectives, each measured once on three heavy days, 1 was best by a little: with 0.8 up to
 * twice as many requests were refused and no more were in time; with 4 up to three times as many were late.
 */
const PATIENCE_IN_OBJECTIVES = 1;

/**
 * Part of the objective that the reading of its own prompt may take up. With less, prompts above the mean size wait
 * as little as before; with more, the largest are left no time for the others' prompts, and are refused at idle servers.
 */
const MOST_OWN_SHARE = 0.5;

/**
 * Time that counts against a request when it is decided whether to let it in or to send it elsewhere, ms: what others
 * make it wait, and of its own reading no more than a part of the objective.
 *
 * Answers prompts of very different sizes at servers with little room. A refusal asks the caller to come back, which
 * helps where others are in the way; its own prompt is as long when it comes back. With all of it counted, the largest
 * prompts are refused each time, at idle servers too, and are never served at all. One notices a share of refusals that
 * grows with the size of the prompt.
 */
export function countedMs({ predictedMs, ownMs }: Expectation, objectiveMs: number): number {
  return predictedMs - ownMs + Math.min(ownMs, objectiveMs * MOST_OWN_SHARE);
}

/** Whether a request is given to the best server, or refused so that it can come back. */
export function isLetIn(
  expectation: Expectation,
  objectiveMs: number,
  timeLeftMs: number,
): boolean {
  const isHopeless = expectation.predictedMs > timeLeftMs;
  return !isHopeless && countedMs(expectation, objectiveMs) <= objectiveMs * PATIENCE_IN_OBJECTIVES;
}
