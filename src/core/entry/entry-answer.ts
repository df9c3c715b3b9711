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

/** The choice as it is answered. */
export function toEntryAnswer(choice: EntryChoice, nowUnixMs: number): EntryAnswer {
  return {
    entry: toInstance(choice.entry),
    fallbacks: choice.fallbacks.map(toInstance),
    askAgainAtUnixMs: nowUnixMs + ENTRY_VALID_MS,
  };
}
