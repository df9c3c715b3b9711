import { xorHashes } from '../hashing';
import { createChangeLog } from '../change-log';
import type { ChangeLog } from '../change-log';
import { compareLoads, mergeRecords, sameLiveness, withLoad } from './merge';
import { memberKey, livenessHash } from './liveness-hash';
import {
  DEAD_MEMBER_RETENTION_MS,
  FORGOTTEN_LIFE_RETENTION_MS,
  SUSPICION_TIMEOUT_MS,
} from './timing';
import type { LoadState, LoadStatement, MemberChange, MemberRecord } from './types';

/**
 * State of all other instances as known to this one. A state machine without sockets or timers: the time is passed
 * to each call, so that every sequence of events can be tested with a fake clock.
 */
export interface MemberTable {
  get(instanceId: string): MemberRecord | undefined;
  /** Returns all other instances, including dead ones that are not forgotten yet. */
  others(): readonly MemberRecord[];
  /** Merges a record into the table; returns whether it changed the member's liveness. */
  applyRecord(record: MemberRecord, learnedFrom: string | undefined, nowMs: number): boolean;
  /** Applies a load statement if it is newer than the last one of that member, and queues it for other peers. */
  applyLoad(statement: LoadStatement, learnedFrom: string | undefined): void;
  /**
   * Returns the record to send to a peer that claims `record` as its own state; set if this table has the peer as
   * suspect or dead, or knows a later life.
   */
  correctionFor(record: MemberRecord): MemberRecord | undefined;
  /** Marks a live or leaving member as suspect, which starts its suspicion timeout. */
  suspect(instanceId: string, nowMs: number): void;
  /** Declares suspects dead after the suspicion timeout, and forgets dead members after their retention time. */
  tick(nowMs: number): void;
  /** Restarts the timeouts of all suspects after a pause of this process, during which refutations were not read. */
  restartSuspicionTimeouts(nowMs: number): void;
  /** Returns the exclusive or over the liveness hashes of all members that are not dead. */
  digest(): number;
  readonly memberLog: ChangeLog<MemberRecord>;
  readonly loadLog: ChangeLog<LoadStatement>;
}

interface Entry {
  record: MemberRecord;
  /** Time at which this instance learned of the member's current status. */
  statusSinceMs: number;
  /** Load sequence of the last load statement that was forwarded. */
  forwardedLoadSequence: number;
}

interface ForgottenMember {
  readonly record: MemberRecord;
  /** Time at which the member was forgotten. */
  readonly atMs: number;
}

/** Creates an empty member table; `onChange` is called for each change of a member's liveness. */
export function createMemberTable(onChange: (change: MemberChange) => void): MemberTable {
  const entries = new Map<string, Entry>();
  const idsByKey = new Map<number, string>();
  const forgotten = new Map<string, ForgottenMember>();
  const memberLog = createChangeLog<MemberRecord>();
  const loadLog = createChangeLog<LoadStatement>();
  let digest = 0;

  const isForgottenLife = (record: MemberRecord): boolean => {
    const past = forgotten.get(record.instanceId)?.record;
    return past !== undefined && record.life <= past.life;
  };

  const notifyChange = (entry: Entry, previous: MemberRecord | undefined) => {
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
      digest = xorHashes(digest, livenessHash(previous));
      idsByKey.delete(memberKey(previous));
    }
    digest = xorHashes(digest, livenessHash(record));
    idsByKey.set(memberKey(record), record.instanceId);
    entries.set(record.instanceId, entry);
    memberLog.append(record.instanceId, record, learnedFrom);
    notifyChange(entry, previous);
  };

  const addMember = (record: MemberRecord, learnedFrom: string | undefined, nowMs: number) => {
    if (isForgottenLife(record)) return false;
    forgotten.delete(record.instanceId);
    store({ record, statusSinceMs: nowMs, forwardedLoadSequence: -1 }, learnedFrom);
    return true;
  };

  const applyRecord = (
    record: MemberRecord,
    learnedFrom: string | undefined,
    nowMs: number,
  ): boolean => {
    const entry = entries.get(record.instanceId);
    if (entry === undefined) return addMember(record, learnedFrom, nowMs);
    const merged = mergeRecords(entry.record, record);
    if (sameLiveness(merged, entry.record)) {
      entry.record = merged;
      return false;
    }
    const isSameLife = merged.life === entry.record.life;
    const isSameStatus = merged.status === entry.record.status;
    const next: Entry = {
      record: merged,
      statusSinceMs: isSameStatus ? entry.statusSinceMs : nowMs,
      forwardedLoadSequence: isSameLife ? entry.forwardedLoadSequence : -1,
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
    if (status === 'suspect' && nowMs - entry.statusSinceMs >= SUSPICION_TIMEOUT_MS) {
      applyRecord({ ...entry.record, status: 'dead' }, undefined, nowMs);
      return;
    }
    if (status === 'dead' && nowMs - entry.statusSinceMs >= DEAD_MEMBER_RETENTION_MS) {
      forget(entry, nowMs);
    }
  };

  return {
    memberLog,
    loadLog,
    get: (instanceId) => entries.get(instanceId)?.record,
    others: () => [...entries.values()].map((entry) => entry.record),
    applyRecord,
    applyLoad(statement, learnedFrom) {
      const instanceId = idsByKey.get(statement.memberKey);
      const entry = instanceId === undefined ? undefined : entries.get(instanceId);
      if (entry === undefined || entry.record.status === 'dead') return;
      if (statement.loadSequence <= entry.forwardedLoadSequence) return;
      const { memberKey: key, wide, ...load }: LoadStatement = statement;
      const known: LoadState = entry.record;
      if (compareLoads(known, load) < 0) entry.record = withLoad(entry.record, load);
      entry.forwardedLoadSequence = statement.loadSequence;
      loadLog.append(entry.record.instanceId, { ...load, memberKey: key, wide }, learnedFrom);
    },
    correctionFor(record) {
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
      applyRecord({ ...record, status: 'suspect' }, undefined, nowMs);
    },
    tick(nowMs) {
      for (const entry of [...entries.values()]) tickEntry(entry, nowMs);
      for (const [instanceId, past] of forgotten) {
        if (nowMs - past.atMs < FORGOTTEN_LIFE_RETENTION_MS) break;
        forgotten.delete(instanceId);
      }
    },
    restartSuspicionTimeouts(nowMs) {
      for (const entry of entries.values()) {
        if (entry.record.status === 'suspect') entry.statusSinceMs = nowMs;
      }
    },
    digest: () => digest,
  };
}
