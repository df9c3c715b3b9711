import { create } from '@bufbuild/protobuf';
import { CursorsSchema, ExchangeMessageSchema, StatementSchema } from '../../gen/membership_pb';
import type {
  Cursors as WireCursors,
  ExchangeMessage as WireMessage,
  Statement,
} from '../../gen/membership_pb';
import type { GossipEntry, GossipTopic } from '../gossip';
import type { Cursors, ExchangeMessage } from '../membership';
import { fromWireLoad, fromWireMember, toWireLoad, toWireMember } from './member-messages';

/** Membership's messages to and from their wire form. */

const TOPICS: ReadonlySet<string> = new Set<GossipTopic>([
  'callerShares',
  'poisonFingerprints',
  'serverMarks',
]);

function isTopic(text: string): text is GossipTopic {
  return TOPICS.has(text);
}

function toWireCursors({ members, loads, statements }: Cursors): WireCursors {
  return create(CursorsSchema, {
    members: BigInt(members),
    loads: BigInt(loads),
    statements: BigInt(statements),
  });
}

function fromWireCursors(cursors: WireCursors | undefined): Cursors {
  return {
    members: Number(cursors?.members ?? 0),
    loads: Number(cursors?.loads ?? 0),
    statements: Number(cursors?.statements ?? 0),
  };
}

function toWireStatement(entry: GossipEntry): Statement {
  return create(StatementSchema, {
    topic: entry.topic,
    key: entry.key,
    origin: entry.origin,
    version: BigInt(entry.version),
    regions: [...(entry.regions ?? [])],
    expiresAtUnixMs: BigInt(entry.expiresAtUnixMs),
    payload: entry.payload,
  });
}

/** A statement on a topic that this release does not know is left out: nothing here could read it. */
function fromWireStatement(statement: Statement): GossipEntry[] {
  const { topic, key, origin, payload } = statement;
  if (!isTopic(topic)) return [];
  const regions = statement.regions.length === 0 ? undefined : statement.regions;
  const expiresAtUnixMs = Number(statement.expiresAtUnixMs);
  const version = Number(statement.version);
  return [{ topic, key, origin, payload, regions, expiresAtUnixMs, version }];
}

/** A message as it goes over the wire. */
export function toWireMessage(message: ExchangeMessage): WireMessage {
  return create(ExchangeMessageSchema, {
    from: toWireMember(message.from),
    haveOfProcess: message.haveOfProcess,
    have: toWireCursors(message.have),
    upTo: toWireCursors(message.upTo),
    viewDigest: message.viewDigest,
    members: message.members.map(toWireMember),
    loads: message.loads.map(toWireLoad),
    statements: message.statements.map(toWireStatement),
    knownLiveness: [...message.knownLiveness],
    moreMembers: message.moreMembers,
  });
}

/** A message as it came over the wire; undefined when it names no sender. */
export function fromWireMessage(message: WireMessage): ExchangeMessage | undefined {
  if (message.from === undefined) return undefined;
  return {
    from: fromWireMember(message.from),
    haveOfProcess: message.haveOfProcess,
    have: fromWireCursors(message.have),
    upTo: fromWireCursors(message.upTo),
    viewDigest: message.viewDigest,
    members: message.members.map(fromWireMember),
    loads: message.loads.map(fromWireLoad),
    statements: message.statements.flatMap(fromWireStatement),
    knownLiveness: message.knownLiveness,
    moreMembers: message.moreMembers,
  };
}
