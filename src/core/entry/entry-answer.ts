import type { MemberState } from '../membership';
import type { EntryChoice } from './choose-entry';

/** One instance as callers are told of it. */
export interface EntryInstance {
  readonly instanceId: string;
  /** host:port for callers. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** The answer of `GET /v1/entry`. */
export interface EntryAnswer {
  readonly entry: EntryInstance;
  readonly fallbacks: readonly EntryInstance[];
  /** After this, ask again. */
  readonly askAgainAtUnixMs: number;
}

/** Long enough that asking costs little beside the work, short enough that a stop moves callers soon. */
export const ENTRY_VALID_MS = 10_000;

function toInstance(member: MemberState): EntryInstance {
  return {
    instanceId: member.instanceId,
    address: member.callerAddress,
    region: member.region,
    failureDomain: member.failureDomain,
  };
}

/** Part of the time of validity over which the next questions of callers are scattered. */
const SCATTER = 0.4;

/**
 * The choice as it is answered. Callers that asked together (after an instance or a failure domain went) are
 * told different times to ask again, or they would come together each time for as long as they run: `scatter`,
 * from 0 up to 1, differs with each answer.
 */
export function toEntryAnswer(
  choice: EntryChoice,
  nowUnixMs: number,
  scatter: number,
): EntryAnswer {
  return {
    entry: toInstance(choice.entry),
    fallbacks: choice.fallbacks.map(toInstance),
    askAgainAtUnixMs: nowUnixMs + Math.round(ENTRY_VALID_MS * (1 - SCATTER * scatter)),
  };
}
