import type { PoisonOptions } from '../configuration';
import type { CrashMark, PoisonVerdict } from './types';

/**
 * Answers a request that crashes each server that runs it, and that its caller sends again. Without this one
 * request takes down a fleet of eight engines in eight tries; one notices servers that crash one after the
 * other within seconds.
 *
 * One crash proves nothing: every request that was open on the server is as likely the cause. The second
 * crash of the same request is taken for proof and it is refused from then on, which bounds the loss at two
 * servers. An answer clears the request: whatever crashed the server was something else. A refusal lapses
 * after a time that doubles with each further crash, so an innocent request that two unrelated crashes hit
 * is let in again, while one that does crash servers costs one more at ever longer distances.
 */
export interface CrashLedger {
  /** Requests with a crash to their name. */
  readonly size: number;
  /** Notes a crash; a try that is known already counts once. */
  note(fingerprint: string, mark: CrashMark): void;
  /** The request was answered at `atUnixMs`; crashes up to then say nothing against it. */
  clear(fingerprint: string, atUnixMs: number): void;
  /** The crash of a server has another cause; it says nothing against the requests that were there. */
  excuse(serverId: string): void;
  marksOf(fingerprint: string): readonly CrashMark[];
  verdict(fingerprint: string, nowUnixMs: number): PoisonVerdict;
}

/** Requests on record; at 340 nodes and one crash a minute far more than are ever live. */
const MAX_FINGERPRINTS = 10_000;
/** Crashes on record per request; enough for the refusal to reach its longest time. */
const MAX_MARKS = 8;
/** Crashes with another cause on record. */
const MAX_EXCUSED = 1_000;
/** Copies of a request that one crash cut off are found out one by one, within this time. */
const SAME_CRASH_MS = 2_000;

/** Adds a mark unless its try, or its crash by another copy of the request, is on record. */
function merge(marks: readonly CrashMark[], added: CrashMark): readonly CrashMark[] {
  const isKnown = marks.some(
    (mark) =>
      mark.tryId === added.tryId ||
      (mark.serverId === added.serverId &&
        Math.abs(mark.atUnixMs - added.atUnixMs) <= SAME_CRASH_MS),
  );
  if (isKnown) return marks;
  const inOrder = [...marks, added].sort((left, right) => left.atUnixMs - right.atUnixMs);
  return inOrder.slice(-MAX_MARKS);
}

interface FingerprintRecord {
  readonly marks: readonly CrashMark[];
  /** Crashes up to this time are answered for; 0 when none are. */
  readonly clearedAtUnixMs: number;
}

const EMPTY_RECORD: FingerprintRecord = { marks: [], clearedAtUnixMs: 0 };

/** An empty ledger. `options` is asked each time, so that a new version applies at once. */
export function createCrashLedger(options: () => PoisonOptions): CrashLedger {
  const records = new Map<string, FingerprintRecord>();
  const excusedServerIds = new Set<string>();
  const recordOf = (fingerprint: string) => records.get(fingerprint) ?? EMPTY_RECORD;

  const termMs = (crashes: number): number => {
    const { refuseForMs, refuseAtMostMs, crashesToRefuse } = options();
    return Math.min(refuseAtMostMs, refuseForMs * 2 ** Math.max(0, crashes - crashesToRefuse));
  };

  // A record outlives its refusal by as long again: a request that crashes another server right after its
  // refusal lapsed must not have a first crash to spare once more.
  const isLive = ({ marks, clearedAtUnixMs }: FingerprintRecord, nowUnixMs: number): boolean => {
    const lastUnixMs = Math.max(marks.at(-1)?.atUnixMs ?? 0, clearedAtUnixMs);
    return lastUnixMs + 2 * termMs(marks.length) > nowUnixMs;
  };

  /** Puts a record last, so that the map stays in the order of change and gives up its oldest first. */
  const put = (fingerprint: string, record: FingerprintRecord): void => {
    records.delete(fingerprint);
    records.set(fingerprint, record);
    const [oldest] = records.keys();
    if (records.size > MAX_FINGERPRINTS && oldest !== undefined) records.delete(oldest);
  };

  const dropOldest = (nowUnixMs: number): void => {
    for (const [fingerprint, record] of records) {
      if (isLive(record, nowUnixMs)) return;
      records.delete(fingerprint);
    }
  };

  return {
    get size() {
      return records.size;
    },
    note(fingerprint, mark) {
      const { marks, clearedAtUnixMs } = recordOf(fingerprint);
      if (mark.atUnixMs <= clearedAtUnixMs || excusedServerIds.has(mark.serverId)) return;
      put(fingerprint, { marks: merge(marks, mark), clearedAtUnixMs });
    },
    // The time is kept: statements about crashes that another instance made before may still arrive.
    clear(fingerprint, atUnixMs) {
      const { marks, clearedAtUnixMs } = recordOf(fingerprint);
      put(fingerprint, {
        marks: marks.filter((mark) => mark.atUnixMs > atUnixMs),
        clearedAtUnixMs: Math.max(clearedAtUnixMs, atUnixMs),
      });
    },
    excuse(serverId) {
      excusedServerIds.add(serverId);
      const [oldest] = excusedServerIds;
      if (excusedServerIds.size > MAX_EXCUSED && oldest !== undefined) {
        excusedServerIds.delete(oldest);
      }
      for (const [fingerprint, { marks, clearedAtUnixMs }] of records) {
        const left = marks.filter((mark) => mark.serverId !== serverId);
        if (left.length === 0 && clearedAtUnixMs === 0) records.delete(fingerprint);
        else if (left.length < marks.length) {
          records.set(fingerprint, { marks: left, clearedAtUnixMs });
        }
      }
    },
    marksOf: (fingerprint) => recordOf(fingerprint).marks,
    verdict(fingerprint, nowUnixMs) {
      dropOldest(nowUnixMs);
      const record = recordOf(fingerprint);
      const { marks } = record;
      const last = marks.at(-1);
      if (last === undefined || !isLive(record, nowUnixMs)) return { kind: 'unknown' };
      const untilUnixMs = last.atUnixMs + termMs(marks.length);
      const isProven = marks.length >= options().crashesToRefuse;
      if (isProven && nowUnixMs < untilUnixMs) {
        return { kind: 'refused', crashes: marks.length, untilUnixMs };
      }
      const serverIds = marks.map((mark) => mark.serverId);
      return { kind: 'suspect', crashes: marks.length, serverIds };
    },
  };
}
