import { xorHashes } from '../hashing';
import { createChangeLog } from '../change-log';
import type { ChangeLog } from '../change-log';
import { compareLoads, mergeRecords, sameLiveness } from './merge';
import { memberKey, livenessDigest } from './liveness-digest';
import { FORGET_DEAD_AFTER_MS, REMEMBER_FORGOTTEN_MS, SUSPICION_MS } from './timing';
import type { LoadState, LoadStatement, MemberChange, MemberRecord } from './types';

/**
 * What one instance knows of all others: a state machine without sockets or timers. Time comes in with each
 * call, so every course of events can be run on a fake clock.
 */
export interface MemberTable {
  get(instanceId: string): MemberRecord | undefined;
  /** All others, the dead that are not forgotten yet included. */
  others(): readonly MemberRecord[];
  /** Takes in a record; true when it told something new about the member's liveness. */
  takeIn(record: MemberRecord, learnedFrom: string | undefined, nowMs: number): boolean;
  takeInLoad(statement: LoadStatement, learnedFrom: string | undefined): void;
  /** What a peer must be told that speaks as `record`: set when this table knows of worse or of a later life. */
  contradiction(record: MemberRecord): MemberRecord | undefined;
  suspect(instanceId: string, nowMs: number): void;
  /** Declares dead and forgets what has fallen due. */
  tick(nowMs: number): void;
  /** After a pause of this process: suspects get their whole time again, since their denials were not read. */
  restartSuspicions(nowMs: number): void;
  /** Exclusive or over the liveness of all that are not dead. */
  digest(): number;
  readonly memberLog: ChangeLog<MemberRecord>;
  readonly loadLog: ChangeLog<LoadStatement>;
}

interface Entry {
  record: MemberRecord;
  /** When this instance learned that it is suspect or dead. */
  sinceMs: number;
  /** Sequence of the last load statement that was passed on. */
  passedOnLoadSequence: number;
}

interface Forgotten {
  readonly record: MemberRecord;
  readonly atMs: number;
}

/** A table that knows nobody. */
export function createMemberTable(onChange: (change: MemberChange) => void): MemberTable {
  const entries = new Map<string, Entry>();
  const idsByKey = new Map<number, string>();
  const forgotten = new Map<string, Forgotten>();
  const memberLog = createChangeLog<MemberRecord>();
  const loadLog = createChangeLog<LoadStatement>();
  let digest = 0;

  const isForgottenLife = (record: MemberRecord): boolean => {
    const past = forgotten.get(record.instanceId)?.record;
    return past !== undefined && record.life <= past.life;
  };

  const announce = (entry: Entry, previous: MemberRecord | undefined) => {
    onChange({
      member: entry.record,
      previousStatus: previous?.status,
      isNewLife: previous !== undefined && previous.life < entry.record.life,
    });
  };

  const store = (entry: Entry, learnedFrom: string | undefined) => {
    const { record } = entry;
    const previous = entries.get(record.instanceId)?.record;
    if (previous !== undefined) {
      digest = xorHashes(digest, livenessDigest(previous));
      idsByKey.delete(memberKey(previous));
    }
    digest = xorHashes(digest, livenessDigest(record));
    idsByKey.set(memberKey(record), record.instanceId);
    entries.set(record.instanceId, entry);
    memberLog.append(record.instanceId, record, learnedFrom);
    announce(entry, previous);
  };

  const takeInNew = (record: MemberRecord, learnedFrom: string | undefined, nowMs: number) => {
    if (isForgottenLife(record)) return false;
    forgotten.delete(record.instanceId);
    store({ record, sinceMs: nowMs, passedOnLoadSequence: -1 }, learnedFrom);
    return true;
  };

  const takeIn = (
    record: MemberRecord,
    learnedFrom: string | undefined,
    nowMs: number,
  ): boolean => {
    const entry = entries.get(record.instanceId);
    if (entry === undefined) return takeInNew(record, learnedFrom, nowMs);
    const merged = mergeRecords(entry.record, record);
    if (sameLiveness(merged, entry.record)) {
      entry.record = merged;
      return false;
    }
    const isSameLife = merged.life === entry.record.life;
    const isSameStatus = merged.status === entry.record.status;
    const next: Entry = {
      record: merged,
      sinceMs: isSameStatus ? entry.sinceMs : nowMs,
      passedOnLoadSequence: isSameLife ? entry.passedOnLoadSequence : -1,
    };
    store(next, learnedFrom);
    return true;
  };

  const forget = (entry: Entry, nowMs: number) => {
    const { record } = entry;
    entries.delete(record.instanceId);
    idsByKey.delete(memberKey(record));
    memberLog.remove(record.instanceId);
    loadLog.remove(record.instanceId);
    forgotten.delete(record.instanceId);
    forgotten.set(record.instanceId, { record, atMs: nowMs });
  };

  const tickEntry = (entry: Entry, nowMs: number) => {
    const { status } = entry.record;
    if (status === 'suspect' && nowMs - entry.sinceMs >= SUSPICION_MS) {
      takeIn({ ...entry.record, status: 'dead' }, undefined, nowMs);
      return;
    }
    if (status === 'dead' && nowMs - entry.sinceMs >= FORGET_DEAD_AFTER_MS) {
      forget(entry, nowMs);
    }
  };

  return {
    memberLog,
    loadLog,
    get: (instanceId) => entries.get(instanceId)?.record,
    others: () => [...entries.values()].map((entry) => entry.record),
    takeIn,
    takeInLoad(statement, learnedFrom) {
      const instanceId = idsByKey.get(statement.memberKey);
      const entry = instanceId === undefined ? undefined : entries.get(instanceId);
      if (entry === undefined || entry.record.status === 'dead') return;
      if (statement.loadSequence <= entry.passedOnLoadSequence) return;
      const { memberKey: key, wide, ...load }: LoadStatement = statement;
      const known: LoadState = entry.record;
      if (compareLoads(known, load) < 0) entry.record = { ...entry.record, ...load };
      entry.passedOnLoadSequence = statement.loadSequence;
      loadLog.append(entry.record.instanceId, { ...load, memberKey: key, wide }, learnedFrom);
    },
    contradiction(record) {
      const past = forgotten.get(record.instanceId)?.record;
      if (past !== undefined && isForgottenLife(record)) return { ...past, status: 'dead' };
      const known = entries.get(record.instanceId)?.record;
      if (known === undefined || known.status === 'alive' || known.status === 'leaving') {
        const isLaterLife = known !== undefined && known.life > record.life;
        return isLaterLife ? known : undefined;
      }
      return known.life >= record.life ? known : undefined;
    },
    suspect(instanceId, nowMs) {
      const record = entries.get(instanceId)?.record;
      if (record === undefined || record.status === 'dead' || record.status === 'suspect') return;
      takeIn({ ...record, status: 'suspect' }, undefined, nowMs);
    },
    tick(nowMs) {
      for (const entry of [...entries.values()]) tickEntry(entry, nowMs);
      for (const [instanceId, past] of forgotten) {
        if (nowMs - past.atMs < REMEMBER_FORGOTTEN_MS) break;
        forgotten.delete(instanceId);
      }
    },
    restartSuspicions(nowMs) {
      for (const entry of entries.values()) {
        if (entry.record.status === 'suspect') entry.sinceMs = nowMs;
      }
    },
    digest: () => digest,
  };
}
