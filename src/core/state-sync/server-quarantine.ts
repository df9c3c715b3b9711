import { createKeyedTimers } from '../clock';
import type { Clock } from '../clock';
import type { ServerItem } from './types';

/** Quarantine for restored entries of servers that had been removed before the source was restored. */
export interface ServerQuarantine extends Disposable {
  /** Records that a server was removed, and discards its held entry. */
  recordRemoval(serverId: string): void;
  /** Holds an entry back if its server was removed recently; returns whether it did. */
  holdIfRemoved(item: ServerItem): boolean;
  /** Discards a held entry and the recorded removal, since newer information about the server has arrived. */
  clear(serverId: string): void;
  /** Returns the held entries, for other instances, which decide on their own whether to use them. */
  items(): readonly ServerItem[];
}

/** How long the removal of a server is remembered, ms: a backup is only some seconds old when it is restored. */
const REMOVAL_RECORD_TTL_MS = 60_000;
/** How long an entry is held back, ms: the entry of a stopped server expires within three heartbeats. */
const QUARANTINE_MS = 5_000;

/**
 * Creates a quarantine for entries of an older backup that describe servers removed since.
 *
 * The backup lists these servers as they were, and the record of their removal is lost with the other changes. Each
 * request sent to such a server wastes an attempt on a connection that fails, or reaches another server that uses the
 * address now. A running server announces itself again, and is accepted at once. A server that is still listed after
 * the entries of stopped servers have expired is accepted too, since an unchanged entry is reported only once.
 */
export function createServerQuarantine(
  clock: Clock,
  accept: (item: ServerItem) => void,
): ServerQuarantine {
  const removedAtMs = new Map<string, number>();
  const held = new Map<string, ServerItem>();
  const timers = createKeyedTimers(clock);

  const discardHeld = (serverId: string): void => {
    held.delete(serverId);
    timers.cancel(serverId);
  };

  const pruneExpired = (nowMs: number): void => {
    for (const [serverId, atMs] of removedAtMs) {
      // The map is in order of removal time, so all further entries are newer.
      if (nowMs - atMs < REMOVAL_RECORD_TTL_MS) return;
      removedAtMs.delete(serverId);
    }
  };

  return {
    recordRemoval(serverId) {
      const nowMs = clock.monotonicMs();
      pruneExpired(nowMs);
      removedAtMs.delete(serverId);
      removedAtMs.set(serverId, nowMs);
      discardHeld(serverId);
    },
    holdIfRemoved(item) {
      const { serverId } = item.announcement;
      const nowMs = clock.monotonicMs();
      pruneExpired(nowMs);
      if (!removedAtMs.has(serverId)) return false;
      held.set(serverId, item);
      timers.set(serverId, nowMs + QUARANTINE_MS, () => accept(item));
      return true;
    },
    clear(serverId) {
      removedAtMs.delete(serverId);
      discardHeld(serverId);
    },
    items: () => [...held.values()],
    [Symbol.dispose]: () => timers[Symbol.dispose](),
  };
}
