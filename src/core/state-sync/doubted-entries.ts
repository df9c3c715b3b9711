import { createKeyedTimers } from '../clock';
import type { Clock } from '../clock';
import type { ServerItem } from './types';

/** Entries of servers that had gone when the source came back with them. */
export interface DoubtedEntries extends Disposable {
  noteGone(serverId: string): void;
  /** Holds an entry back if its server had gone before; says whether it does. */
  hold(item: ServerItem): boolean;
  /** Something newer is known of the server: what was held back means nothing any more. */
  drop(serverId: string): void;
  /** What is held back, for instances that judge by themselves. */
  items(): readonly ServerItem[];
}

/** Time after which nobody remembers that a server has gone, ms: an older copy is some seconds old. */
const REMEMBERED_MS = 60_000;
/** Time for which an entry is held back, ms: one of a server that lives no more lapses within three heartbeats. */
const HELD_MS = 5_000;

/**
 * Holds back what an older copy says of servers that have gone since.
 *
 * The copy lists them as they were, and what removed them is lost with the rest. Sent to, each costs requests a try and a
 * connection that cannot be made, or reaches whoever has their address now. One that lives announces itself, and is
 * believed at once; one that is still listed when dead ones have lapsed is believed as well, since a server whose
 * entry does not change is told of once only.
 */
export function createDoubtedEntries(
  clock: Clock,
  believe: (item: ServerItem) => void,
): DoubtedEntries {
  const goneAtMs = new Map<string, number>();
  const held = new Map<string, ServerItem>();
  const timers = createKeyedTimers(clock);

  const letGo = (serverId: string): void => {
    held.delete(serverId);
    timers.cancel(serverId);
  };

  const forgetOld = (nowMs: number): void => {
    for (const [serverId, atMs] of goneAtMs) {
      // The oldest come first.
      if (nowMs - atMs < REMEMBERED_MS) return;
      goneAtMs.delete(serverId);
    }
  };

  return {
    noteGone(serverId) {
      const nowMs = clock.monotonicMs();
      forgetOld(nowMs);
      goneAtMs.delete(serverId);
      goneAtMs.set(serverId, nowMs);
      letGo(serverId);
    },
    hold(item) {
      const { serverId } = item.announcement;
      const nowMs = clock.monotonicMs();
      forgetOld(nowMs);
      if (!goneAtMs.has(serverId)) return false;
      held.set(serverId, item);
      timers.set(serverId, nowMs + HELD_MS, () => believe(item));
      return true;
    },
    drop(serverId) {
      goneAtMs.delete(serverId);
      letGo(serverId);
    },
    items: () => [...held.values()],
    [Symbol.dispose]: () => timers[Symbol.dispose](),
  };
}
