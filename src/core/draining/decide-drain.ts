import type { DrainPhase, OpenWork } from './types';

/** State from which the next step of a planned stop is decided. */
export interface DrainState {
  readonly nowMs: number;
  /** End of the notice, by which callers and peers that choose instances should know of the stop. */
  readonly noticeEndsAtMs: number;
  /** When the last request of any kind arrived; undefined when none has since the start. */
  readonly lastArrivalAtMs: number | undefined;
  readonly openWork: OpenWork;
  /** Names of the active holds, which delay the end of the instance. */
  readonly holds: readonly string[];
}

/**
 * Minimum time without any request before the listener closes, ms: several times the pause of a caller between an
 * answer and its next request on the same connection. A request that arrives while its connection is being closed is
 * reset, and its caller cannot know whether it ran.
 */
export const MIN_QUIET_MS = 500;

/**
 * Maximum wait for `MIN_QUIET_MS` without requests after the notice, ms. Without it a caller that ignores
 * `/v1/entry` and keeps sending requests to this instance would delay the stop for ever.
 */
export const MAX_QUIET_WAIT_MS = 10_000;

/** Next step of a planned stop: stay in a phase, or end. */
export type DrainStep =
  | { readonly kind: 'stay'; readonly phase: Exclude<DrainPhase, 'serving'> }
  | { readonly kind: 'done' };

/**
 * Decides the next step of a planned stop.
 *
 * Under steady load, refusing requests from the first moment would turn away every caller and peer that does not know
 * of the stop yet, and this throughout a rolling replacement. Closing the listener at once would reset requests in
 * transit, and their callers could not know whether they ran. So the instance first keeps serving while its stop is
 * announced, then refuses with the outcome `notRun`, and ends only when no work is open.
 */
export function decideDrain(state: DrainState): DrainStep {
  const { nowMs, noticeEndsAtMs, lastArrivalAtMs, openWork, holds } = state;
  if (nowMs < noticeEndsAtMs) return { kind: 'stay', phase: 'leaving' };
  const isOpen = openWork.callerRequests > 0 || openWork.peerRequests > 0;
  if (isOpen || holds.length > 0) return { kind: 'stay', phase: 'refusing' };
  const isQuiet = lastArrivalAtMs === undefined || nowMs - lastArrivalAtMs >= MIN_QUIET_MS;
  const mayKeepWaiting = nowMs < noticeEndsAtMs + MAX_QUIET_WAIT_MS;
  if (!isQuiet && mayKeepWaiting) return { kind: 'stay', phase: 'refusing' };
  return { kind: 'done' };
}
