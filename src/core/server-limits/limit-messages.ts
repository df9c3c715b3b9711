import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** Schema of what an instance knows of the limit of a server. */
const limitSchema = z.object({
  /** Identifies one start of the server. */
  server: z.string(),
  /** Null if the server has no limit any more. */
  perSecond: z.number().min(0).nullable(),
  /** Time since the answer that says so, ms; a time of day would be wrong by the difference between two clocks. */
  ageMs: z.number().min(0),
});

/** Schema of the messages between instances of a region about the limits of its servers. */
const messageSchema = z.discriminatedUnion('kind', [
  /** Asks the instance that counts a server for permission to send it one request. */
  z.object({
    kind: z.literal('permitAsk'),
    from: z.object({ instanceId: z.string(), address: z.string() }),
    askId: z.number(),
    limit: limitSchema,
  }),
  z.object({
    kind: z.literal('permitAnswer'),
    askId: z.number(),
    verdict: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('granted') }),
      z.object({ kind: z.literal('denied'), retryAfterMs: z.number().min(0) }),
      /** The asked instance does not count the server; another one may. */
      z.object({ kind: z.literal('notCounting') }),
    ]),
    limit: limitSchema.optional(),
  }),
  /** Limits that the sender has observed, or that it counts. */
  z.object({ kind: z.literal('serverLimits'), limits: z.array(limitSchema) }),
]);

/** A message between instances about the limits of servers. */
export type LimitMessage = z.output<typeof messageSchema>;

/** What an instance tells another one of the limit of a server. */
export type ToldLimit = z.output<typeof limitSchema>;

/** The verdict in an answer to a `permitAsk` message. */
export type AskVerdict = Extract<LimitMessage, { kind: 'permitAnswer' }>['verdict'];

/** Serializes a message to text. */
export function serializeLimitMessage(message: LimitMessage): string {
  return JSON.stringify(message);
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseLimitMessage(text: string): LimitMessage | undefined {
  return parseJsonText(messageSchema, text);
}
