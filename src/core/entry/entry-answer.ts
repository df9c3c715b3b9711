import type { MemberState } from '../membership';
import type { EntryChoice } from './choose-entry';

/** An instance as returned to callers. */
export interface EntryInstance {
  readonly instanceId: string;
  /** Address for callers, host:port. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Response body of `GET /v1/entry`. */
export interface EntryAnswer {
  readonly entry: EntryInstance;
  readonly fallbacks: readonly EntryInstance[];
  /** Time from which the caller should request its entry again. */
  readonly askAgainAtUnixMs: number;
}

/**
 * TTL of an entry, ms: long enough that the requests for it cost little, short enough that callers move soon
 * after an instance stops.
 */
export const ENTRY_TTL_MS = 10_000;

function toInstance(member: MemberState): EntryInstance {
  return {
    instanceId: member.instanceId,
    address: member.callerAddress,
    region: member.region,
    failureDomain: member.failureDomain,
  };
}

/** Share of the TTL over which the next entry requests of callers are spread. */
const JITTER_SHARE = 0.4;

/**
 * Converts a choice to a response body. Callers that requested an entry at the same time (after an instance or
 * failure domain failed) get different times for the next request, since otherwise they would all return at
 * the same time for as long as they run. `jitter`, from 0 to less than 1, differs with each answer.
 */
export function toEntryAnswer(choice: EntryChoice, nowUnixMs: number, jitter: number): EntryAnswer {
  return {
    entry: toInstance(choice.entry),
    fallbacks: choice.fallbacks.map(toInstance),
    askAgainAtUnixMs: nowUnixMs + Math.round(ENTRY_TTL_MS * (1 - JITTER_SHARE * jitter)),
  };
}
