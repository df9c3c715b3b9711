import type { GossipEntry } from '../gossip';
import type { Change, ChangeLog } from '../change-log';
import { LOAD_BYTES, memberBytes, statementBytes } from './messages';
import type { Cursors, ExchangeMessage } from './messages';
import { livenessDigest } from './liveness-digest';
import type { SendBudget } from './send-budget';
import {
  LOAD_BYTES_PER_MESSAGE,
  MEMBER_BYTES_PER_MESSAGE,
  STATEMENT_BYTES_PER_MESSAGE,
} from './timing';
import type { LoadStatement, MemberRecord } from './types';

/** Who is written to. */
export interface Recipient {
  readonly instanceId: string | undefined;
  /** Undefined before the first answer. */
  readonly region: string | undefined;
}

/** The logs that messages are cut from. */
export interface MessageLogs {
  readonly members: ChangeLog<MemberRecord>;
  readonly loads: ChangeLog<LoadStatement>;
  readonly statements: ChangeLog<GossipEntry>;
}

/** Which of its own parts a message has room for, and where the recipient stands. */
export interface Portion {
  readonly recipient: Recipient;
  readonly ownRegion: string;
  readonly cursors: Cursors;
  readonly budget: SendBudget;
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Load goes with requests only: both sides ask one another, and once is enough. */
  readonly withLoads: boolean;
  /** Hashes of liveness that the recipient is known to have. */
  readonly knownLiveness: ReadonlySet<number>;
}

interface Cut<Value> {
  readonly values: readonly Value[];
  readonly upTo: number;
}

interface CutOptions<Value> {
  readonly log: ChangeLog<Value>;
  readonly cursor: number;
  readonly limitBytes: number;
  readonly budget: SendBudget;
  readonly sizeOf: (value: Value) => number;
  readonly concerns: (change: Change<Value>) => boolean;
}

/** What comes after the cursor, as far as the bytes reach; the oldest goes first so that nothing starves. */
function cut<Value>(options: CutOptions<Value>): Cut<Value> {
  const { log, cursor, limitBytes, budget, sizeOf, concerns } = options;
  const values: Value[] = [];
  let leftBytes = limitBytes;
  let upTo = cursor;
  for (const change of log.since(cursor)) {
    if (concerns(change)) {
      const bytes = sizeOf(change.value);
      if (bytes > leftBytes) return { values, upTo };
      leftBytes -= bytes;
      budget.spend(bytes);
      values.push(change.value);
    }
    upTo = change.position;
  }
  return { values, upTo: Math.max(cursor, log.tip()) };
}

/** Least room for members in each message, so that news of crashes goes out when all else has spent the budget. */
const LEAST_MEMBER_BYTES = 512;

/** The part of a message that is cut from the logs. */
export function composePortion(
  logs: MessageLogs,
  portion: Portion,
): Pick<ExchangeMessage, 'members' | 'loads' | 'statements' | 'upTo' | 'moreMembers'> {
  const { recipient, ownRegion, cursors, budget, nowMs, nowUnixMs } = portion;
  const { withLoads, knownLiveness } = portion;
  const isNews = (change: Change<unknown>) =>
    change.learnedFrom === undefined || change.learnedFrom !== recipient.instanceId;
  const isNear = recipient.region === ownRegion;

  const members = cut({
    log: logs.members,
    cursor: cursors.members,
    limitBytes: Math.min(
      MEMBER_BYTES_PER_MESSAGE,
      Math.max(LEAST_MEMBER_BYTES, budget.availableBytes(nowMs)),
    ),
    budget,
    sizeOf: memberBytes,
    concerns: (change) =>
      isNews(change) &&
      change.key !== recipient.instanceId &&
      !knownLiveness.has(livenessDigest(change.value)),
  });
  const statements = cut({
    log: logs.statements,
    cursor: cursors.statements,
    limitBytes: Math.min(STATEMENT_BYTES_PER_MESSAGE, budget.availableBytes(nowMs)),
    budget,
    sizeOf: statementBytes,
    concerns: (change) =>
      isNews(change) &&
      change.value.expiresAtUnixMs > nowUnixMs &&
      statementBytes(change.value) <= STATEMENT_BYTES_PER_MESSAGE &&
      (change.value.regions === undefined ||
        (recipient.region !== undefined && change.value.regions.includes(recipient.region))),
  });
  const loads = withLoads
    ? cut({
        log: logs.loads,
        cursor: cursors.loads,
        limitBytes: Math.min(LOAD_BYTES_PER_MESSAGE, budget.availableBytes(nowMs)),
        budget,
        sizeOf: () => LOAD_BYTES,
        concerns: (change) =>
          isNews(change) && change.key !== recipient.instanceId && (isNear || change.value.wide),
      })
    : { values: [], upTo: cursors.loads };

  return {
    members: members.values,
    loads: loads.values,
    statements: statements.values,
    moreMembers: members.upTo < logs.members.tip(),
    upTo: { members: members.upTo, loads: loads.upTo, statements: statements.upTo },
  };
}
