import { z } from 'zod';
import type { GossipEntry, GossipStatement } from '../gossip';
import type { HealthState } from './types';

/** Statements about servers on their way between the instances of a region. */

/** How long a statement stands unless it is renewed; a checker that is replaced leaves no stale word behind. */
export const MARK_TTL_MS = 15_000;
/** Renewed three times in that span, so that two lost renewals do no harm. */
export const MARK_RENEWAL_MS = 5_000;

const markSchema = z.strictObject({
  kind: z.enum(['usable', 'draining', 'down']),
  incarnation: z.string().max(64).optional(),
});

/** One statement. */
export interface ServerMark {
  readonly kind: HealthState['kind'];
  readonly incarnation: string | undefined;
}

/** Names the server with its address, since another address is another server. */
export function markKey(serverId: string, address: string): string {
  return `${serverId}@${address}`;
}

/** The statement to put on the board; only the server's own region routes to it. */
export function toStatement(
  key: string,
  mark: ServerMark,
  region: string,
  nowUnixMs: number,
): GossipStatement {
  return {
    topic: 'serverMarks',
    key,
    regions: [region],
    expiresAtUnixMs: nowUnixMs + MARK_TTL_MS,
    payload: JSON.stringify(mark),
  };
}

/** Reads a peer's statement; undefined when it is none. */
export function fromEntry(entry: GossipEntry): ServerMark | undefined {
  try {
    const { kind, incarnation } = markSchema.parse(JSON.parse(entry.payload));
    return { kind, incarnation };
  } catch {
    return undefined;
  }
}
