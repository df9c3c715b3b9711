import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** A conviction as gossip carries it, which reaches instances that start later. The part is the key of the statement. */

const payloadSchema = z.strictObject({
  kind: z.literal('partConvicted'),
  service: z.string(),
  crashes: z.int().min(1),
  firstCrashAtUnixMs: z.number(),
  untilUnixMs: z.number(),
});

/** What gossip carries of a conviction. */
export type ConvictionPayload = Omit<z.output<typeof payloadSchema>, 'kind'>;

/** Serializes a conviction. */
export function serializeConvictionPayload(payload: ConvictionPayload): string {
  return JSON.stringify({ kind: 'partConvicted', ...payload });
}

/** Parses a payload; undefined for one of another kind. */
export function parseConvictionPayload(payload: string): ConvictionPayload | undefined {
  return parseJsonText(payloadSchema, payload);
}
