import { z } from 'zod';
import type { GossipEntry, GossipStatement } from '../gossip';
import type { HealthState } from './types';

/** Encodes and decodes the statements about servers that the instances of a region exchange by gossip. */

/** TTL of a statement unless it is renewed, ms. Statements of a checker that has been replaced expire by it. */
export const STATEMENT_TTL_MS = 15_000;
/** Interval between renewals, ms: three in a TTL, so that a statement survives two lost renewals. */
export const STATEMENT_RENEWAL_INTERVAL_MS = 5_000;

const statementSchema = z.strictObject({
  kind: z.enum(['usable', 'draining', 'down']),
  incarnation: z.string().max(64).optional(),
});

/** Statement about the health of one server. */
export interface ServerStatement {
  readonly kind: HealthState['kind'];
  readonly incarnation: string | undefined;
}

/** Returns the gossip key of a server. It holds the address, since another address is another server. */
export function statementKey(serverId: string, address: string): string {
  return `${serverId}@${address}`;
}

/**
 * Returns the statement as it is put on the gossip board. It goes only to the region of the server, since no other
 * region routes to it.
 */
export function toGossipStatement(
  key: string,
  statement: ServerStatement,
  region: string,
  nowUnixMs: number,
): GossipStatement {
  return {
    topic: 'serverMarks',
    key,
    regions: [region],
    expiresAtUnixMs: nowUnixMs + STATEMENT_TTL_MS,
    payload: JSON.stringify(statement),
  };
}

/** Parses the statement of a peer; returns undefined when it is malformed. */
export function parseStatement(entry: GossipEntry): ServerStatement | undefined {
  try {
    const { kind, incarnation } = statementSchema.parse(JSON.parse(entry.payload));
    return { kind, incarnation };
  } catch {
    return undefined;
  }
}
