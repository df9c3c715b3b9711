import type { DrainPhase, OpenWork } from './types';

/** Everything that the next step of a planned stop rests on. */
export interface DrainState {
  readonly nowMs: number;
  /** When everybody who chooses instances has heard of the stop. */
  readonly noticeEndsAtMs: number;
  readonly openWork: OpenWork;
  /** Names of what else holds the instance. */
  readonly holds: readonly string[];
}

/** The next step of a planned stop. */
export type DrainStep =
  | { readonly kind: 'stay'; readonly phase: Exclude<DrainPhase, 'serving'> }
  | { readonly kind: 'done' };

/**
 * Decides how far a planned stop has come.
 *
 * Answers steady load on an instance that is being replaced. Refusing from the first moment turns away every
 * caller and peer that has not heard yet, all through a rolling replacement; closing the listener at once
 * resets requests that are on their way, and their callers cannot know whether they ran. So the instance first
 * serves on while its leaving spreads, then refuses with a plain "not run", and goes only when nothing is open.
 */
export function decideDrain(state: DrainState): DrainStep {
  const { nowMs, noticeEndsAtMs, openWork, holds } = state;
  if (nowMs < noticeEndsAtMs) return { kind: 'stay', phase: 'leaving' };
  const isOpen = openWork.callerRequests > 0 || openWork.peerRequests > 0;
  if (isOpen || holds.length > 0) return { kind: 'stay', phase: 'refusing' };
  return { kind: 'done' };
}
