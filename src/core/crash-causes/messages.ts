import { z } from 'zod';
import { parseJsonText } from '../json-text';
import type { Conviction, CrashSighting, SightedPart } from './types';

/**
 * Messages by which instances tell one another of parts of prompts that crash servers. Times are sent as ages, because the
 * clocks of two instances differ.
 */

/** Parts of a tried request that are told; further ones are left out. */
const MAX_TRIED_PARTS = 64;

const partSchema = z.string().max(32);
const ageSchema = z.number().min(0).max(86_400_000);

const statementSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('crashed'),
    server: z.string().max(200),
    domain: z.string().max(200),
    ageMs: ageSchema,
    requests: z.int().min(0).max(10_000),
    /** Each part with the share of requests that hold it, in thousandths. */
    parts: z.array(z.tuple([partSchema, z.int().min(0).max(1_000)])).max(64),
    /** Ages of the latest requests with each of the parts, ms; instances of the release before do not state them. */
    sentAgesMs: z.array(ageSchema).max(64).optional(),
    triedParts: z.array(partSchema).max(MAX_TRIED_PARTS).optional(),
  }),
  z.object({ kind: z.literal('trying'), part: partSchema }),
  z.object({ kind: z.literal('answered'), part: partSchema, ageMs: ageSchema }),
  z.object({
    kind: z.literal('convicted'),
    part: partSchema,
    crashes: z.int().min(1),
    firstCrashAgeMs: ageSchema,
    remainingMs: z.number().min(0).max(86_400_000),
  }),
]);

const messageSchema = z.object({
  kind: z.literal('crashCauses'),
  /** Instance that sends the message, and the regions of the requests if they are not all. */
  from: z.string().max(400),
  service: z.string().max(200),
  statement: statementSchema,
});

type WrittenStatement = z.output<typeof statementSchema>;

/** What an instance states. */
export type CauseStatement =
  | { readonly kind: 'crashed'; readonly sighting: CrashSighting }
  /** The instance sends a request with a suspected part, and is the only one to do so. */
  | { readonly kind: 'trying'; readonly part: string }
  | { readonly kind: 'answered'; readonly part: string; readonly atMs: number }
  | { readonly kind: 'convicted'; readonly conviction: Conviction };

/** A statement of another instance. */
export interface CauseMessage {
  readonly from: string;
  readonly service: string;
  readonly statement: CauseStatement;
}

const THOUSANDTHS = 1_000;
/** Parts that fit into one message of one network frame. */
const MAX_PARTS_IN_MESSAGE = 40;

function writeSighting(sighting: CrashSighting, nowMs: number): readonly WrittenStatement[] {
  const { serverId, failureDomain, atMs, requests } = sighting;
  const parts = sighting.parts.map(({ part, share }): [string, number] => [
    part,
    Math.round(share * THOUSANDTHS),
  ]);
  const sentAgesMs = sighting.parts.map(({ sentAtMs = atMs }) =>
    Math.round(Math.max(0, nowMs - sentAtMs)),
  );
  const written = {
    kind: 'crashed' as const,
    server: serverId,
    domain: failureDomain,
    ageMs: Math.max(0, nowMs - atMs),
    requests,
    ...(sighting.triedParts.length > 0 && {
      triedParts: sighting.triedParts.slice(0, MAX_TRIED_PARTS),
    }),
  };
  const messages = Math.max(1, Math.ceil(parts.length / MAX_PARTS_IN_MESSAGE));
  return Array.from({ length: messages }, (_unused, index) => ({
    ...written,
    parts: parts.slice(index * MAX_PARTS_IN_MESSAGE, (index + 1) * MAX_PARTS_IN_MESSAGE),
    sentAgesMs: sentAgesMs.slice(index * MAX_PARTS_IN_MESSAGE, (index + 1) * MAX_PARTS_IN_MESSAGE),
  }));
}

function write(statement: CauseStatement, nowMs: number): readonly WrittenStatement[] {
  switch (statement.kind) {
    case 'crashed':
      return writeSighting(statement.sighting, nowMs);
    case 'trying':
      return [statement];
    case 'answered': {
      const { part, atMs } = statement;
      return [{ kind: 'answered', part, ageMs: Math.max(0, nowMs - atMs) }];
    }
    case 'convicted': {
      const { part, crashes, firstCrashAtMs, untilMs } = statement.conviction;
      const firstCrashAgeMs = Math.max(0, nowMs - firstCrashAtMs);
      const remainingMs = Math.max(0, untilMs - nowMs);
      return [{ kind: 'convicted', part, crashes, firstCrashAgeMs, remainingMs }];
    }
    default:
      return statement satisfies never;
  }
}

function read(written: WrittenStatement, nowMs: number): CauseStatement {
  switch (written.kind) {
    case 'crashed': {
      const { server: serverId, domain: failureDomain, requests, triedParts = [] } = written;
      const sentAgesMs = written.sentAgesMs ?? [];
      const parts = written.parts.map(([part, thousandths], index): SightedPart => {
        const ageMs = sentAgesMs[index];
        return {
          part,
          share: thousandths / THOUSANDTHS,
          sentAtMs: ageMs === undefined ? undefined : nowMs - ageMs,
        };
      });
      const atMs = nowMs - written.ageMs;
      return {
        kind: 'crashed',
        sighting: { serverId, failureDomain, requests, parts, triedParts, atMs },
      };
    }
    case 'trying':
      return written;
    case 'answered':
      return { kind: 'answered', part: written.part, atMs: nowMs - written.ageMs };
    case 'convicted': {
      const { part, crashes, firstCrashAgeMs, remainingMs } = written;
      const times = { firstCrashAtMs: nowMs - firstCrashAgeMs, untilMs: nowMs + remainingMs };
      return { kind: 'convicted', conviction: { part, crashes, ...times } };
    }
    default:
      return written satisfies never;
  }
}

/** Serializes a statement to as few messages as it fits into. */
export function serializeCauseMessages(message: CauseMessage, nowMs: number): readonly string[] {
  const { from, service } = message;
  return write(message.statement, nowMs).map((statement) =>
    JSON.stringify({ kind: 'crashCauses', from, service, statement }),
  );
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseCauseMessage(text: string, nowMs: number): CauseMessage | undefined {
  const message = parseJsonText(messageSchema, text);
  return message && { ...message, statement: read(message.statement, nowMs) };
}
