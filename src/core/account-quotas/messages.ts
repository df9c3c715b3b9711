import { z } from 'zod';
import { parseJsonText } from '../json-text';

const peerSchema = z.object({
  instanceId: z.string(),
  region: z.string(),
  address: z.string(),
});

const countSchema = z.object({
  account: z.string(),
  countId: z.number(),
  total: z.number(),
  perSecond: z.number(),
  left: z.number(),
  isSettled: z.boolean(),
});

/** Schema of the messages between instances about quotas. Costs are in the unit of the quota of the account. */
const messageSchema = z.discriminatedUnion('kind', [
  /** Asks the instance that counts an account in the region. */
  z.object({
    kind: z.literal('ask'),
    from: peerSchema,
    askId: z.number(),
    account: z.string(),
    cost: z.number().min(0),
  }),
  z.object({
    kind: z.literal('answer'),
    askId: z.number(),
    verdict: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('granted'), left: z.number() }),
      z.object({
        kind: z.literal('spent'),
        retryAfterMs: z.number().min(0),
        standing: z.object({ left: z.number(), unheardRegions: z.array(z.string()) }),
      }),
      /** The configuration in force at the asked instance does not contain the account. */
      z.object({ kind: z.literal('unknownAccount') }),
    ]),
  }),
  /** Costs that were spent without asking; negative costs are refunds. */
  z.object({
    kind: z.literal('spent'),
    from: peerSchema,
    costs: z.array(z.object({ account: z.string(), cost: z.number() })),
  }),
  /** Remaining quotas of accounts, in reply to `spent`. */
  z.object({
    kind: z.literal('standings'),
    standings: z.array(z.object({ account: z.string(), left: z.number() })),
  }),
  /** Counts of one instance, sent to the other instances that count the same accounts. */
  z.object({
    kind: z.literal('counts'),
    from: peerSchema,
    wantsReply: z.boolean(),
    counts: z.array(countSchema),
  }),
]);

/** A message between instances about quotas. */
export type QuotaMessage = z.output<typeof messageSchema>;

/** The verdict in an answer to an `ask` message. */
export type AskVerdict = Extract<QuotaMessage, { kind: 'answer' }>['verdict'];

/** Serializes a message to text. */
export function serializeQuotaMessage(message: QuotaMessage): string {
  return JSON.stringify(message);
}

/** Parses a message; undefined if the text is not a valid one. */
export function parseQuotaMessage(text: string): QuotaMessage | undefined {
  return parseJsonText(messageSchema, text);
}
