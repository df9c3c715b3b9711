import type { GossipEntry } from '../gossip';
import type { Change, ChangeLog } from '../change-log';
import { loadBytes, memberBytes, statementBytes } from './messages';
import type { Cursors, ExchangeMessage } from './messages';
import { livenessHash } from './liveness-hash';
import type { SendBudget } from './send-budget';
import {
  MAX_LOAD_BYTES_PER_MESSAGE,
  MAX_MEMBER_BYTES_PER_MESSAGE,
  MAX_STATEMENT_BYTES_PER_MESSAGE,
} from './timing';
import type { LoadStatement, MemberRecord } from './types';

/** Recipient of a message. */
export interface Recipient {
  readonly instanceId: string | undefined;
  /** Undefined before the first reply. */
  readonly region: string | undefined;
}

/** Change logs from which messages are composed. */
export interface MessageLogs {
  readonly members: ChangeLog<MemberRecord>;
  readonly loads: ChangeLog<LoadStatement>;
  readonly statements: ChangeLog<GossipEntry>;
}

/** Options of {@link composePortion}. */
export interface PortionOptions {
  readonly recipient: Recipient;
  readonly ownRegion: string;
  readonly cursors: Cursors;
  readonly budget: SendBudget;
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Whether to include loads. Only requests carry them: both sides send requests, so replies need not repeat them. */
  readonly includesLoads: boolean;
  /** Liveness hashes that the recipient already knows. */
  readonly knownLiveness: ReadonlySet<number>;
}

interface Selection<Value> {
  readonly values: readonly Value[];
  readonly upTo: number;
}

interface SelectionOptions<Value> {
  readonly log: ChangeLog<Value>;
  readonly cursor: number;
  readonly limitBytes: number;
  readonly budget: SendBudget;
  readonly sizeOf: (value: Value) => number;
  readonly isRelevant: (change: Change<Value>) => boolean;
}

/** Selects the changes after the cursor that fit into the limit, oldest first so that no change starves. */
function selectChanges<Value>(options: SelectionOptions<Value>): Selection<Value> {
  const { log, cursor, limitBytes, budget, sizeOf, isRelevant } = options;
  const values: Value[] = [];
  let remainingBytes = limitBytes;
  let upTo = cursor;
  for (const change of log.since(cursor)) {
    if (isRelevant(change)) {
      const bytes = sizeOf(change.value);
      if (bytes > remainingBytes) return { values, upTo };
      remainingBytes -= bytes;
      budget.spend(bytes);
      values.push(change.value);
    }
    upTo = change.position;
  }
  return { values, upTo: Math.max(cursor, log.tip()) };
}

/** Bytes for members that each message may always use, so that crashes are reported even when the budget is spent. */
const MIN_MEMBER_BYTES = 512;

/** Composes the part of a message that comes from the change logs. */
export function composePortion(
  logs: MessageLogs,
  portion: PortionOptions,
): Pick<ExchangeMessage, 'members' | 'loads' | 'statements' | 'upTo' | 'moreMembers'> {
  const { recipient, ownRegion, cursors, budget, nowMs, nowUnixMs } = portion;
  const { includesLoads, knownLiveness } = portion;
  const isNewToRecipient = (change: Change<unknown>) =>
    change.learnedFrom === undefined || change.learnedFrom !== recipient.instanceId;
  const isSameRegion = recipient.region === ownRegion;

  const members = selectChanges({
    log: logs.members,
    cursor: cursors.members,
    limitBytes: Math.min(
      MAX_MEMBER_BYTES_PER_MESSAGE,
      Math.max(MIN_MEMBER_BYTES, budget.availableBytes(nowMs)),
    ),
    budget,
    sizeOf: memberBytes,
    isRelevant: (change) =>
      isNewToRecipient(change) &&
      change.key !== recipient.instanceId &&
      !knownLiveness.has(livenessHash(change.value)),
  });
  const statements = selectChanges({
    log: logs.statements,
    cursor: cursors.statements,
    limitBytes: Math.min(MAX_STATEMENT_BYTES_PER_MESSAGE, budget.availableBytes(nowMs)),
    budget,
    sizeOf: statementBytes,
    isRelevant: (change) =>
      isNewToRecipient(change) &&
      change.value.expiresAtUnixMs > nowUnixMs &&
      statementBytes(change.value) <= MAX_STATEMENT_BYTES_PER_MESSAGE &&
      (change.value.regions === undefined ||
        (recipient.region !== undefined && change.value.regions.includes(recipient.region))),
  });
  const loads = includesLoads
    ? selectChanges({
        log: logs.loads,
        cursor: cursors.loads,
        limitBytes: Math.min(MAX_LOAD_BYTES_PER_MESSAGE, budget.availableBytes(nowMs)),
        budget,
        sizeOf: loadBytes,
        isRelevant: (change) =>
          isNewToRecipient(change) &&
          change.key !== recipient.instanceId &&
          (isSameRegion || change.value.wide),
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
