import { createMemberTable } from './member-table';
import type { MemberTable } from './member-table';
import { composePortion } from './compose-message';
import type { MessageLogs } from './compose-message';
import type { Cursors, ExchangeMessage } from './messages';
import { START_CURSORS, LIVENESS_HASH_BYTES } from './messages';
import { xorHashes } from '../hashing';
import type { PeerLink, RequestState } from './peer-link';
import type { SelfRecord } from './self-record';
import { createSendBudget } from './send-budget';
import { memberKey, livenessHash } from './liveness-hash';
import { LOAD_INTERVAL_PER_MEMBER_MS, MIN_LOAD_INTERVAL_MS } from './timing';
import type { MemberChange, MemberRecord } from './types';
import type { GossipStore } from '../gossip';

/**
 * Membership view of one instance: applies received messages, composes messages to send and publishes its own load. It
 * has no sockets or timers; membership sends and receives the messages and passes in the time.
 */
export interface View {
  readonly table: MemberTable;
  /** Applies a message; returns whether it held a record of this instance that had to be refuted. */
  applyMessage(message: ExchangeMessage, nowMs: number): boolean;
  /** Composes the request for the next exchange over `link`. */
  writeRequest(link: PeerLink, nowMs: number, nowUnixMs: number): WrittenRequest;
  /** Composes the reply to a request that has been applied. */
  writeReply(request: ExchangeMessage, nowMs: number, nowUnixMs: number): ExchangeMessage;
  /** Publishes the own load to the load log if it is due. */
  publishLoad(nowMs: number): void;
}

/** Request message, together with the sender's state at that time. */
export interface WrittenRequest {
  readonly message: ExchangeMessage;
  readonly senderState: RequestState;
}

/** Options of {@link createView}. */
export interface ViewOptions {
  readonly self: SelfRecord;
  readonly gossip: GossipStore;
  readonly nowMs: number;
  readonly onChange: (change: MemberChange) => void;
}

/**
 * Reduces how often load statements go to other regions: one statement in this many times the ratio of fleet size to
 * region size does. Other regions forward whole requests depending on the replies of peers, and need load only to
 * distinguish idle instances from full ones.
 */
const WIDE_LOAD_RATIO = 2;

interface LoadSchedule {
  readonly intervalMs: number;
  /** Every n-th statement also goes to other regions. */
  readonly wideEvery: number;
}

function loadSchedule(self: MemberRecord, others: readonly MemberRecord[]): LoadSchedule {
  const liveOthers = others.filter((member) => member.status !== 'dead');
  const membersInRegion = liveOthers.filter((member) => member.region === self.region).length + 1;
  return {
    intervalMs: Math.max(MIN_LOAD_INTERVAL_MS, membersInRegion * LOAD_INTERVAL_PER_MEMBER_MS),
    wideEvery: Math.ceil((WIDE_LOAD_RATIO * (liveOthers.length + 1)) / membersInRegion),
  };
}

/** Creates a view that knows no other instance. */
export function createView(options: ViewOptions): View {
  const { self, gossip, onChange } = options;
  const table = createMemberTable(onChange);
  const budget = createSendBudget(options.nowMs);
  const logs: MessageLogs = {
    members: table.memberLog,
    loads: table.loadLog,
    statements: gossip.log,
  };
  let publishedAtMs = options.nowMs;
  let publishedLoadSequence = -1;
  let wideLoadSequence = -1;
  let publishedCount = 0;

  const tips = (): Cursors => ({
    members: logs.members.tip(),
    loads: logs.loads.tip(),
    statements: logs.statements.tip(),
  });
  const viewDigest = () => xorHashes(table.digest(), livenessHash(self.current()));

  const knownLiveness = (): readonly number[] => {
    const hashes = [self.current(), ...table.others()].map(livenessHash);
    budget.spend(hashes.length * LIVENESS_HASH_BYTES);
    return hashes;
  };

  const applyMember = (record: MemberRecord, learnedFrom: string, nowMs: number): boolean => {
    if (record.instanceId === self.current().instanceId) return self.reconcile(record);
    table.applyRecord(record, learnedFrom, nowMs);
    return false;
  };

  return {
    table,
    applyMessage(message, nowMs) {
      const { from } = message;
      const learnedFrom = from.instanceId;
      const refutations = [from, ...message.members].map((record) =>
        applyMember(record, learnedFrom, nowMs),
      );
      const ownKey = memberKey(self.current());
      for (const load of message.loads) {
        if (load.memberKey !== ownKey) table.applyLoad(load, learnedFrom);
      }
      gossip.receive(message.statements, learnedFrom);
      return refutations.includes(true);
    },
    writeRequest(link, nowMs, nowUnixMs) {
      const isKnown = link.sent !== undefined;
      const cursors = link.sent ?? tips();
      const portion = composePortion(logs, {
        recipient: link,
        ownRegion: self.current().region,
        cursors,
        budget,
        nowMs,
        nowUnixMs,
        includesLoads: isKnown,
        knownLiveness: link.livenessKnownToPeer,
      });
      const knownRecord = link.instanceId === undefined ? undefined : table.get(link.instanceId);
      const isSuspectOrDead = knownRecord?.status === 'suspect' || knownRecord?.status === 'dead';
      const message: ExchangeMessage = {
        ...portion,
        from: self.current(),
        haveOfProcess: link.processToken,
        have: link.have,
        viewDigest: viewDigest(),
        members: isSuspectOrDead ? [knownRecord, ...portion.members] : portion.members,
        knownLiveness: link.isCatchingUp ? knownLiveness() : [],
      };
      return {
        message,
        senderState: { upTo: portion.upTo, tips: tips(), viewDigest: message.viewDigest },
      };
    },
    writeReply(request, nowMs, nowUnixMs) {
      const own = self.current();
      const { from } = request;
      const isThisProcess = request.haveOfProcess === own.processToken;
      const have = isThisProcess ? request.have : START_CURSORS;
      const hasSameView = request.viewDigest === viewDigest();
      const cursors =
        hasSameView && have.members === 0 ? { ...have, members: logs.members.tip() } : have;
      const portion = composePortion(logs, {
        recipient: from,
        ownRegion: own.region,
        cursors,
        budget,
        nowMs,
        nowUnixMs,
        includesLoads: false,
        knownLiveness: new Set(request.knownLiveness),
      });
      const correction = table.correctionFor(from);
      const isNewLink = !isThisProcess && !hasSameView;
      return {
        ...portion,
        from: own,
        haveOfProcess: 0,
        have: START_CURSORS,
        viewDigest: viewDigest(),
        knownLiveness: isNewLink ? knownLiveness() : [],
        members: correction === undefined ? portion.members : [correction, ...portion.members],
      };
    },
    publishLoad(nowMs) {
      const own = self.current();
      const { intervalMs, wideEvery } = loadSchedule(own, table.others());
      const isDue = nowMs - publishedAtMs >= intervalMs;
      const isChanged = own.loadSequence !== publishedLoadSequence;
      const isChangedForOtherRegions = own.loadSequence !== wideLoadSequence;
      if (!isDue || (!isChanged && !isChangedForOtherRegions)) return;
      publishedAtMs = nowMs;
      publishedCount += 1;
      const wide = publishedCount % wideEvery === 0;
      // A load that stays the same after one statement must still reach the other regions with the next wide one.
      if (!isChanged && !wide) return;
      publishedLoadSequence = own.loadSequence;
      if (wide) wideLoadSequence = own.loadSequence;
      table.loadLog.append(
        own.instanceId,
        {
          memberKey: memberKey(own),
          wide,
          loadSequence: own.loadSequence,
          inFlightRequests: own.inFlightRequests,
          configurationVersion: own.configurationVersion,
          configurationDigest: own.configurationDigest,
          configurationSinceUnixMs: own.configurationSinceUnixMs,
          configurationConfirmed: own.configurationConfirmed,
          watching: own.watching,
          openRequestsByService: own.openRequestsByService,
        },
        undefined,
      );
    },
  };
}
