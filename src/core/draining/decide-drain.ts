import type { DrainPhase, OpenWork } from './types';

/** Everything that the next step of a planned stop rests on. */
export interface DrainState {
  readonly nowMs: number;
  /** When everybody who chooses instances has heard of the stop. */
  readonly noticeEndsAtMs: number;
  /** When the last request of any kind came in; undefined when none has since the start. */
  readonly lastArrivalAtMs: number | undefined;
  readonly openWork: OpenWork;
  /** Names of what else holds the instance. */
  readonly holds: readonly string[];
}

/**
 * Time without any request before the listener closes: several times the pause of a caller between an answer
 * and its next request on the same connection. A request that crosses the closing of its connection is reset,
 * and its caller can't know whether it ran.
 */
export const QUIET_MS = 500;

/** Longest wait for that quiet after the notice: a caller that never follows `/v1/entry` holds nobody for ever. */
export const LONGEST_QUIET_WAIT_MS = 10_000;

/** The next step of a planned stop. */
export type DrainStep =
  | { readonly kind: 'stay'; readonly phase: Exclude<DrainPhase, 'serving'> }
  | { readonly kind: 'done' };

/**
 * Decides how far a planned stop has come.
 *
 * Answers steady load on an instance that is being replaced. A refusal from the first moment meets every
 * caller and peer that has not heard yet, all through a rolling replacement; closing the listener at once
 * resets requests that are on their way, and their callers cannot know whether they ran. So the instance first
 * serves on while its leaving spreads, then refuses with a plain "not run", and goes only when nothing is open.
 */
export function decideDrain(state: DrainState): DrainStep {
  const { nowMs, noticeEndsAtMs, lastArrivalAtMs, openWork, holds } = state;
  if (nowMs < noticeEndsAtMs) return { kind: 'stay', phase: 'leaving' };
  const isOpen = openWork.callerRequests > 0 || openWork.peerRequests > 0;
  if (isOpen || holds.length > 0) return { kind: 'stay', phase: 'refusing' };
  const isQuiet = lastArrivalAtMs === undefined || nowMs - lastArrivalAtMs >= QUIET_MS;
  const waitsOn = nowMs < noticeEndsAtMs + LONGEST_QUIET_WAIT_MS;
  if (!isQuiet && waitsOn) return { kind: 'stay', phase: 'refusing' };
  return { kind: 'done' };
}
