import { updateIntervalMs } from './create-load-broadcaster';
import type { LoadUpdate } from './types';

/** Sums of the open requests that the other instances of the region have at each server. */
export interface PeerLoads {
  /** Replaces the previous update of the same instance. */
  receive(update: LoadUpdate, nowMs: number): void;
  /** Returns the number of open requests of the other instances at a server. */
  inFlight(incarnationId: string): number;
  /** Returns the prompt tokens of the other instances' requests at a server that wait for their first byte. */
  pendingTokens(incarnationId: string): number;
  /** Returns the number of instances with an update that has not expired. */
  reportingInstanceCount(): number;
  /** Removes expired updates. */
  removeExpired(nowMs: number): void;
}

interface Sums {
  inFlight: number;
  pendingTokens: number;
}

interface ReceivedUpdate {
  readonly update: LoadUpdate;
  readonly atMs: number;
}

/**
 * Minimum TTL of an update, ms. The requests of an instance that has died have ended by then as well. A live instance
 * sends several updates per second while it has open requests, or at least one per 900 ms.
 */
const MIN_UPDATE_TTL_MS = 2_000;
/** TTL in a large region, in intervals between two updates, which are longer there: one update may be lost. */
const UPDATE_TTL_INTERVALS = 2.5;

/**
 * Creates sums that are zero until updates are received.
 *
 * During peaks several instances choose among the same servers. Each knows its own requests at once, but those of the
 * others only from the load reports in answers, which are seconds old; long prompts that have just been sent are in no
 * report at all. Without these updates, instances would send their prompts to the same server: first bytes and pauses
 * in streams there would take a second while another server computes no prompt. Each update is complete, so the next
 * one makes up for a lost one.
 */
export function createPeerLoads(): PeerLoads {
  const received = new Map<string, ReceivedUpdate>();
  const sums = new Map<string, Sums>();

  const add = ({ servers }: LoadUpdate, sign: 1 | -1): void => {
    for (const { incarnationId, inFlight, pendingTokens } of servers) {
      const sum = sums.get(incarnationId) ?? { inFlight: 0, pendingTokens: 0 };
      sum.inFlight += sign * inFlight;
      sum.pendingTokens += sign * pendingTokens;
      if (sum.inFlight <= 0 && sum.pendingTokens <= 0) sums.delete(incarnationId);
      else sums.set(incarnationId, sum);
    }
  };

  const remove = (from: string): void => {
    const previous = received.get(from);
    if (previous === undefined) return;
    add(previous.update, -1);
    received.delete(from);
  };

  return {
    receive(update, nowMs) {
      remove(update.from);
      received.set(update.from, { update, atMs: nowMs });
      add(update, 1);
    },
    inFlight: (incarnationId) => Math.max(0, sums.get(incarnationId)?.inFlight ?? 0),
    pendingTokens: (incarnationId) => Math.max(0, sums.get(incarnationId)?.pendingTokens ?? 0),
    reportingInstanceCount: () => received.size,
    removeExpired(nowMs) {
      const intervalMs = updateIntervalMs(received.size);
      const ttlMs = Math.max(MIN_UPDATE_TTL_MS, UPDATE_TTL_INTERVALS * intervalMs);
      for (const [from, { atMs }] of received) if (nowMs - atMs > ttlMs) remove(from);
    },
  };
}
