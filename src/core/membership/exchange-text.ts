import { z } from 'zod';
import type { GossipEntry } from '../gossip';
import type { ExchangeMessage } from './messages';
import { createRowCodec } from './row-codec';

/**
 * Encoding of membership messages as text, for instances that call one another over plain HTTP.
 *
 * Members, loads, statements and cursors are encoded as rows without field names; the names would make up most of the
 * membership traffic.
 */

/** Last field of a row, so that releases without it ignore it, and rows of such releases are valid. */
const openRequestsSchema = z
  .array(z.tuple([z.string(), z.int().nonnegative()]).readonly())
  .readonly()
  .optional();

/** Last fields of the rows of members and of loads: what changes while an instance runs. */
const changingFields = {
  inFlightRequests: z.number(),
  configurationVersion: z.number(),
  configurationDigest: z.number(),
  configurationSinceUnixMs: z.number(),
  configurationConfirmed: z.boolean(),
  watching: z.boolean(),
  openRequestsByService: openRequestsSchema,
};

const members = createRowCodec(
  z.object({
    instanceId: z.string().min(1),
    region: z.string(),
    failureDomain: z.string(),
    callerAddress: z.string(),
    peerAddress: z.string(),
    status: z.enum(['alive', 'suspect', 'leaving', 'dead']),
    incarnation: z.number(),
    life: z.number(),
    sequence: z.number(),
    processToken: z.number(),
    loadSequence: z.number(),
    ...changingFields,
  }),
);

const loads = createRowCodec(
  z.object({
    memberKey: z.number(),
    wide: z.boolean(),
    loadSequence: z.number(),
    ...changingFields,
  }),
);

const cursors = createRowCodec(
  z.object({ members: z.number(), loads: z.number(), statements: z.number() }),
);

const topicSchema = z.enum(['callerShares', 'poisonFingerprints', 'serverMarks']);

const statements = createRowCodec(
  z.object({
    topic: topicSchema,
    key: z.string(),
    origin: z.string(),
    version: z.number(),
    // JSON arrays cannot hold undefined, so null stands for all regions.
    regions: z.array(z.string()).nullable(),
    expiresAtUnixMs: z.number(),
    payload: z.string(),
  }),
);

const rowSchema = z.array(z.unknown());
const rowsSchema = z.array(rowSchema).default([]);

const messageSchema = z.object({
  from: rowSchema,
  haveOfProcess: z.number(),
  have: rowSchema,
  upTo: rowSchema,
  viewDigest: z.number(),
  members: rowsSchema,
  loads: rowsSchema,
  statements: rowsSchema,
  knownLiveness: z.array(z.number()).default([]),
  moreMembers: z.boolean().default(false),
});

function writeStatement(entry: GossipEntry) {
  return statements.write({ ...entry, regions: entry.regions ? [...entry.regions] : null });
}

/** Decodes a statement; returns an empty list if its topic is unknown to this release, which could not use it. */
function readStatement(row: readonly unknown[]): GossipEntry[] {
  if (!topicSchema.safeParse(row[0]).success) return [];
  const { regions, ...entry } = statements.read(row);
  return [{ ...entry, regions: regions ?? undefined }];
}

/** Returns undefined for an empty list, so that it is omitted from the JSON text; most lists are empty. */
function omitIfEmpty<Entry>(entries: readonly Entry[]): readonly Entry[] | undefined {
  return entries.length === 0 ? undefined : entries;
}

/** Encodes a message as text. */
export function writeExchange(message: ExchangeMessage): string {
  return JSON.stringify({
    from: members.write(message.from),
    haveOfProcess: message.haveOfProcess,
    have: cursors.write(message.have),
    upTo: cursors.write(message.upTo),
    viewDigest: message.viewDigest,
    members: omitIfEmpty(message.members.map(members.write)),
    loads: omitIfEmpty(message.loads.map(loads.write)),
    statements: omitIfEmpty(message.statements.map(writeStatement)),
    knownLiveness: omitIfEmpty(message.knownLiveness),
    moreMembers: message.moreMembers || undefined,
  });
}

/** Decodes a message from text; throws if the text is not a valid message. */
export function readExchange(text: string): ExchangeMessage {
  const message = messageSchema.parse(JSON.parse(text));
  return {
    ...message,
    from: members.read(message.from),
    have: cursors.read(message.have),
    upTo: cursors.read(message.upTo),
    members: message.members.map(members.read),
    loads: message.loads.map(loads.read),
    statements: message.statements.flatMap(readStatement),
  };
}
