import { z } from 'zod';

/** What instances tell one another of quotas. Costs are in the unit of the account's quota. */

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

const messageSchema = z.discriminatedUnion('kind', [
  /** Asks whoever counts an account in the region. */
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
      /** The one that was asked does not have the account in force. */
      z.object({ kind: z.literal('unknownAccount') }),
    ]),
  }),
  /** What was spent without asking, or given back where it is negative. */
  z.object({
    kind: z.literal('spent'),
    from: peerSchema,
    costs: z.array(z.object({ account: z.string(), cost: z.number() })),
  }),
  /** What is left of accounts, as the reply to what was spent of them. */
  z.object({
    kind: z.literal('standings'),
    standings: z.array(z.object({ account: z.string(), left: z.number() })),
  }),
  /** Counts of one instance, for those that count the same accounts. */
  z.object({
    kind: z.literal('counts'),
    from: peerSchema,
    wantsReply: z.boolean(),
    counts: z.array(countSchema),
  }),
]);

/** One message about quotas. */
export type QuotaMessage = z.output<typeof messageSchema>;

/** An answer to an ask. */
export type AskVerdict = Extract<QuotaMessage, { kind: 'answer' }>['verdict'];

/** A message as text. */
export function writeQuotaMessage(message: QuotaMessage): string {
  return JSON.stringify(message);
}

/** A message from text; undefined where it is none. */
export function readQuotaMessage(text: string): QuotaMessage | undefined {
  try {
    return messageSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
