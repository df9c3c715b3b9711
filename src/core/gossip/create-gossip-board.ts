import type { Clock } from '../clock';
import type { GossipBoard, GossipEntry, GossipTopic } from './types';

/** A board with its other side: what membership's messages carry. */
export interface GossipStore extends GossipBoard {
  /** Takes in statements that came from a peer. */
  receive(entries: readonly GossipEntry[]): void;
}

/** An empty board of one instance. */
export function createGossipBoard(ownInstanceId: string, clock: Clock): GossipStore {
  const entries = new Map<string, GossipEntry>();
  const listeners = new Map<GossipTopic, Set<(entry: GossipEntry) => void>>();

  const keyOf = ({ topic, key, origin }: GossipEntry) => `${topic}\n${key}\n${origin}`;

  const keepIfNewer = (entry: GossipEntry): boolean => {
    const known = entries.get(keyOf(entry));
    if (known !== undefined && known.version >= entry.version) return false;
    entries.set(keyOf(entry), entry);
    return true;
  };

  return {
    put(statement) {
      const previous = entries.get(keyOf({ ...statement, origin: ownInstanceId, version: 0 }));
      // Starting from the time keeps a restarted instance ahead of what its former self said.
      const version = Math.max((previous?.version ?? 0) + 1, clock.unixMs());
      keepIfNewer({ ...statement, origin: ownInstanceId, version });
    },
    entries(topic) {
      const nowUnixMs = clock.unixMs();
      return [...entries.values()].filter(
        (entry) => entry.topic === topic && entry.expiresAtUnixMs > nowUnixMs,
      );
    },
    onEntry(topic, listener) {
      const ofTopic = listeners.get(topic) ?? new Set();
      listeners.set(topic, ofTopic);
      ofTopic.add(listener);
      return {
        [Symbol.dispose]() {
          ofTopic.delete(listener);
        },
      };
    },
    receive(received) {
      for (const entry of received) {
        if (entry.origin !== ownInstanceId && keepIfNewer(entry)) {
          listeners.get(entry.topic)?.forEach((listener) => listener(entry));
        }
      }
    },
  };
}
