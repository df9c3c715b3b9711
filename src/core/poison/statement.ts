import { z } from 'zod';
import { parseJsonText } from '../json-text';

/** What instances tell one another about a fingerprint: the crashes, or that an answer cleared it. */
export const poisonStatementSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('crashed'),
    marks: z
      .array(z.strictObject({ tryId: z.string(), serverId: z.string(), atUnixMs: z.number() }))
      .max(8),
  }),
  z.strictObject({ kind: z.literal('cleared'), atUnixMs: z.number() }),
]);

/** One statement. */
export type PoisonStatement = z.output<typeof poisonStatementSchema>;

/** The statement in a payload; undefined for one that another version of the program wrote differently. */
export function parsePoisonStatement(payload: string): PoisonStatement | undefined {
  return parseJsonText(poisonStatementSchema, payload);
}
