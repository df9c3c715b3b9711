import { createMemberTable } from './member-table';
import type { MemberTable } from './member-table';
import { composePortion } from './compose-message';
import type { MessageLogs } from './compose-message';
import type { Cursors, ExchangeMessage } from './messages';
import { NO_CURSORS, STANDING_HASH_BYTES } from './messages';
import { xorHashes } from '../hashing';
import type { PeerLink, SentState } from './peer-link';
import type { SelfRecord } from './self-record';
import { createSendBudget } from './send-budget';
import { memberKey, livenessDigest } from './liveness-digest';
import { LOAD_INTERVAL_PER_MEMBER_MS, SHORTEST_LOAD_INTERVAL_MS } from './timing';
import type { MemberChange, MemberRecord } from './types';
import type { GossipStore } from '../gossip';

/**
 * The view of one instance with its messages: reads them, writes them, restates its own load. No sockets, no
 * timers; the tasks beside it only carry messages.
 */
export interface View {
  readonly table: MemberTable;
  /** Reads a message and says whether this instance had to contradict what it heard of itself. */
  read(message: ExchangeMessage, nowMs: number): boolean;
  writeRequest(link: PeerLink, nowMs: number, nowUnixMs: number): WrittenRequest;
  writeAnswer(request: ExchangeMessage, nowMs: number, nowUnixMs: number): ExchangeMessage;
  /** Puts the own load among what spreads, if it is time. */
  restateLoad(nowMs: number): void;
}

/** A request with what its sender remembers of it. */
export interface WrittenRequest {
  readonly message: ExchangeMessage;
  readonly sent: SentState;
}

/** What a view is made from. */
export interface ViewOptions {
  readonly self: SelfRecord;
  readonly gossip: GossipStore;
  readonly nowMs: number;
  readonly onChange: (change: MemberChange) => void;
}

/**
 * One load statement in this many regions' worth goes to other regions: they route whole requests there by
 * what peers answer, and need load only to tell the idle from the full.
 */
const WIDE_LOAD_RATIO = 2;

interface LoadPace {
  readonly intervalMs: number;
  /** Each how many-th statement goes to other regions. */
  readonly wideEvery: number;
}

function loadPace(self: MemberRecord, others: readonly MemberRecord[]): LoadPace {
  const living = others.filter((member) => member.status !== 'dead');
  const near = living.filter((member) => member.region === self.region).length + 1;
  return {
    intervalMs: Math.max(SHORTEST_LOAD_INTERVAL_MS, near * LOAD_INTERVAL_PER_MEMBER_MS),
    wideEvery: Math.ceil((WIDE_LOAD_RATIO * (living.length + 1)) / near),
  };
}

/** A view that knows nobody. */
export function createView(options: ViewOptions): View {
  const { self, gossip, onChange } = options;
  const table = createMemberTable(onChange);
  const budget = createSendBudget(options.nowMs);
  const logs: MessageLogs = {
    members: table.memberLog,
    loads: table.loadLog,
    statements: gossip.log,
  };
  let restatedAtMs = options.nowMs;
  let restatedLoadSequence = -1;
  let wideLoadSequence = -1;
  let restatedCount = 0;

  const tips = (): Cursors => ({
    members: logs.members.tip(),
    loads: logs.loads.tip(),
    statements: logs.statements.tip(),
  });
  const viewDigest = () => xorHashes(table.digest(), livenessDigest(self.current()));

  const knownLiveness = (): readonly number[] => {
    const hashes = [self.current(), ...table.others()].map(livenessDigest);
    budget.spend(hashes.length * STANDING_HASH_BYTES);
    return hashes;
  };

  const readMember = (record: MemberRecord, learnedFrom: string, nowMs: number): boolean => {
    if (record.instanceId === self.current().instanceId) return self.hear(record);
    table.takeIn(record, learnedFrom, nowMs);
    return false;
  };

  return {
    table,
    read(message, nowMs) {
      const { from } = message;
      const learnedFrom = from.instanceId;
      const heard = [from, ...message.members].map((record) =>
        readMember(record, learnedFrom, nowMs),
      );
      const ownKey = memberKey(self.current());
      for (const load of message.loads) {
        if (load.memberKey !== ownKey) table.takeInLoad(load, learnedFrom);
      }
      gossip.receive(message.statements, learnedFrom);
      return heard.includes(true);
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
        withLoads: isKnown,
        knownLiveness: link.peerKnows,
      });
      const about = link.instanceId === undefined ? undefined : table.get(link.instanceId);
      const isDoubted = about?.status === 'suspect' || about?.status === 'dead';
      const message: ExchangeMessage = {
        ...portion,
        from: self.current(),
        haveOfProcess: link.processToken,
        have: link.have,
        viewDigest: viewDigest(),
        members: isDoubted ? [about, ...portion.members] : portion.members,
        knownLiveness: link.isCatchingUp ? knownLiveness() : [],
      };
      return {
        message,
        sent: { upTo: portion.upTo, tips: tips(), viewDigest: message.viewDigest },
      };
    },
    writeAnswer(request, nowMs, nowUnixMs) {
      const own = self.current();
      const { from } = request;
      const isOwnProcess = request.haveOfProcess === own.processToken;
      const have = isOwnProcess ? request.have : NO_CURSORS;
      const isSameView = request.viewDigest === viewDigest();
      const cursors =
        isSameView && have.members === 0 ? { ...have, members: logs.members.tip() } : have;
      const portion = composePortion(logs, {
        recipient: from,
        ownRegion: own.region,
        cursors,
        budget,
        nowMs,
        nowUnixMs,
        withLoads: false,
        knownLiveness: new Set(request.knownLiveness),
      });
      const contradiction = table.contradiction(from);
      const isFirst = !isOwnProcess && !isSameView;
      return {
        ...portion,
        from: own,
        haveOfProcess: 0,
        have: NO_CURSORS,
        viewDigest: viewDigest(),
        knownLiveness: isFirst ? knownLiveness() : [],
        members:
          contradiction === undefined ? portion.members : [contradiction, ...portion.members],
      };
    },
    restateLoad(nowMs) {
      const own = self.current();
      const { intervalMs, wideEvery } = loadPace(own, table.others());
      const isDue = nowMs - restatedAtMs >= intervalMs;
      const isNews = own.loadSequence !== restatedLoadSequence;
      const isNewsElsewhere = own.loadSequence !== wideLoadSequence;
      if (!isDue || (!isNews && !isNewsElsewhere)) return;
      restatedAtMs = nowMs;
      restatedCount += 1;
      const wide = restatedCount % wideEvery === 0;
      // A load that stays as it is after one statement still has to reach the other regions, in its turn.
      if (!isNews && !wide) return;
      restatedLoadSequence = own.loadSequence;
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
        },
        undefined,
      );
    },
  };
}
