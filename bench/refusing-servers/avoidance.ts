import type { Refusals, RefusalStanding } from '../../src/core/server-notices';

/** Time for which a server is avoided after a first refusal, ms; it doubles with each further one, up to the maximum. */
const INITIAL_AVOIDANCE_MS = 250;
const MAX_AVOIDANCE_MS = 8_000;

const NOT_AVOIDED: RefusalStanding = { share: 0, isAvoided: false, isUnproven: false };

interface Avoidance {
  readonly untilMs: number;
  readonly consecutiveRefusals: number;
  /** Smallest prompt that was refused; a server may have room for smaller ones. */
  readonly minTokens: number;
}

/** Creates the alternative of avoiding a server for a time that grows with each refusal in a row. */
export function createAvoidance(): Refusals {
  const avoidances = new Map<string, Avoidance>();
  return {
    recordRefusal(incarnationId, tokens, nowMs) {
      const before = avoidances.get(incarnationId);
      // Requests that were sent together are refused together; they count as one refusal.
      const isFurther = before === undefined || before.untilMs <= nowMs;
      const consecutiveRefusals = (before?.consecutiveRefusals ?? 0) + (isFurther ? 1 : 0);
      const avoidanceMs = Math.min(
        MAX_AVOIDANCE_MS,
        INITIAL_AVOIDANCE_MS * 2 ** (consecutiveRefusals - 1),
      );
      avoidances.set(incarnationId, {
        untilMs: isFurther ? nowMs + avoidanceMs : before.untilMs,
        consecutiveRefusals,
        minTokens: Math.min(tokens, before?.minTokens ?? tokens),
      });
    },
    recordAcceptance(incarnationId, tokens) {
      const avoidance = avoidances.get(incarnationId);
      if (avoidance !== undefined && tokens >= avoidance.minTokens) {
        avoidances.delete(incarnationId);
      }
    },
    standing(incarnationId, tokens, nowMs) {
      const avoidance = avoidances.get(incarnationId);
      if (avoidance === undefined || tokens < avoidance.minTokens) return NOT_AVOIDED;
      if (avoidance.untilMs <= nowMs) return { share: 0, isAvoided: false, isUnproven: true };
      return { share: avoidance.consecutiveRefusals, isAvoided: true, isUnproven: true };
    },
    keepOnly(incarnationIds) {
      for (const id of avoidances.keys()) if (!incarnationIds.has(id)) avoidances.delete(id);
    },
  };
}
