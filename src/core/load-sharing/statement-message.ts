import { z } from 'zod';
import type { LoadStatement } from './types';

const statementSchema = z.object({
  from: z.string().min(1),
  servers: z.array(
    z.object({
      incarnationId: z.string(),
      inFlight: z.number().min(0),
      pendingTokens: z.number().min(0),
    }),
  ),
  read: z.array(z.object({ incarnationId: z.string(), partIds: z.array(z.string()) })),
});

/** A statement as text. */
export function writeStatement(statement: LoadStatement): string {
  return JSON.stringify(statement);
}

/** A statement from text; undefined where it is none. */
export function readStatement(text: string): LoadStatement | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return undefined;
  }
  return statementSchema.safeParse(parsed).data;
}
