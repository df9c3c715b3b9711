import { z } from 'zod';
import type { LoadStatement } from './types';

/** Rows without the names of their fields, so that most statements fit into one datagram. */
const statementSchema = z.tuple([
  z.string().min(1).describe('from'),
  z.array(
    z.tuple([
      z.string().describe('incarnationId'),
      z.number().min(0).describe('inFlight'),
      z.number().min(0).describe('pendingTokens'),
    ]),
  ),
  z.array(z.tuple([z.string().describe('incarnationId'), z.array(z.string()).describe('partIds')])),
]);

/** A statement as text. */
export function writeStatement({ from, servers, read }: LoadStatement): string {
  return JSON.stringify([
    from,
    servers.map(({ incarnationId, inFlight, pendingTokens }) => [
      incarnationId,
      inFlight,
      pendingTokens,
    ]),
    read.map(({ incarnationId, partIds }) => [incarnationId, partIds]),
  ]);
}

/** A statement from text; undefined where it is none. */
export function readStatement(text: string): LoadStatement | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return undefined;
  }
  const rows = statementSchema.safeParse(parsed).data;
  if (rows === undefined) return undefined;
  const [from, servers, read] = rows;
  return {
    from,
    servers: servers.map(([incarnationId, inFlight, pendingTokens]) => ({
      incarnationId,
      inFlight,
      pendingTokens,
    })),
    read: read.map(([incarnationId, partIds]) => ({ incarnationId, partIds })),
  };
}
