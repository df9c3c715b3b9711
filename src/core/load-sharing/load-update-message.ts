import { z } from 'zod';
import { parseJsonText } from '../json-text';
import type { LoadUpdate } from './types';

/** Tuples without field names, so that most updates fit into one datagram. */
const updateSchema = z.tuple([
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

/** Serializes an update to text. */
export function serializeLoadUpdate({ from, servers, cachedParts }: LoadUpdate): string {
  return JSON.stringify([
    from,
    servers.map(({ incarnationId, inFlight, pendingTokens }) => [
      incarnationId,
      inFlight,
      pendingTokens,
    ]),
    cachedParts.map(({ incarnationId, partIds }) => [incarnationId, partIds]),
  ]);
}

/** Parses an update; returns undefined if the text is not valid. */
export function parseLoadUpdate(text: string): LoadUpdate | undefined {
  const rows = parseJsonText(updateSchema, text);
  if (rows === undefined) return undefined;
  const [from, servers, cachedParts] = rows;
  return {
    from,
    servers: servers.map(([incarnationId, inFlight, pendingTokens]) => ({
      incarnationId,
      inFlight,
      pendingTokens,
    })),
    cachedParts: cachedParts.map(([incarnationId, partIds]) => ({ incarnationId, partIds })),
  };
}
