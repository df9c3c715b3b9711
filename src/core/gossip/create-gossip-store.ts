import type { Clock } from '../clock';
import { createChangeLog } from '../change-log';
import type { ChangeLog } from '../change-log';
import type { Gossip, GossipEntry, GossipTopic } from './types';

/** Gossip store including the operations that membership uses to exchange statements with peers. */
export interface GossipStore extends Gossip {
  /** Stores statements received from a peer and forwards new ones to other peers. */
  receive(entries: readonly GossipEntry[], learnedFrom?: string): void;
  /** Removes expired statements. */
  removeExpired(): void;
  /** Statements in the order in which they were made or received. */
  readonly log: ChangeLog<GossipEntry>;
}

/**
 * Maximum TTL of a statement that is accepted from a peer, ms. Without a limit, an instance whose clock runs far ahead
 * would leave statements behind that never expire. A week exceeds the TTLs that any component uses.
 */
const MAX_TTL_MS = 7 * 86_400_000;

/** Creates an empty gossip store for the instance `ownInstanceId`. */
export function createGossipStore(ownInstanceId: string, clock: Clock): GossipStore {
  const entries = new Map<string, GossipEntry>();
  const listeners = new Map<GossipTopic, Set<(entry: GossipEntry) => void>>();
  const log = createChangeLog<GossipEntry>();

  const keyOf = ({ topic, key, origin }: GossipEntry) => `${topic}\n${key}\n${origin}`;

  const storeIfNewer = (entry: GossipEntry, learnedFrom: string | undefined): boolean => {
    const key = keyOf(entry);
    const known = entries.get(key);
    if (known !== undefined && known.version >= entry.version) return false;
    entries.set(key, entry);
    log.append(key, entry, learnedFrom);
    return true;
  };

  const isAcceptable = ({ origin, expiresAtUnixMs }: GossipEntry): boolean => {
    const ttlMs = expiresAtUnixMs - clock.unixMs();
    return origin !== ownInstanceId && ttlMs > 0 && ttlMs <= MAX_TTL_MS;
  };

  return {
    log,
    put(statement) {
      const previous = entries.get(keyOf({ ...statement, origin: ownInstanceId, version: 0 }));
      // Versions start at the current time, so that a restarted instance supersedes its earlier statements.
      const version = Math.max((previous?.version ?? 0) + 1, clock.unixMs());
      storeIfNewer({ ...statement, origin: ownInstanceId, version }, undefined);
    },
    entries(topic) {
      const nowUnixMs = clock.unixMs();
      return [...entries.values()].filter(
        (entry) => entry.topic === topic && entry.expiresAtUnixMs > nowUnixMs,
      );
    },
    onEntry(topic, listener) {
      const topicListeners = listeners.get(topic) ?? new Set();
      listeners.set(topic, topicListeners);
      topicListeners.add(listener);
      return {
        [Symbol.dispose]() {
          topicListeners.delete(listener);
        },
      };
    },
    receive(received, learnedFrom) {
      for (const entry of received) {
        if (isAcceptable(entry) && storeIfNewer(entry, learnedFrom)) {
          listeners.get(entry.topic)?.forEach((listener) => listener(entry));
        }
      }
    },
    removeExpired() {
      const nowUnixMs = clock.unixMs();
      for (const [key, entry] of entries) {
        if (entry.expiresAtUnixMs <= nowUnixMs) {
          entries.delete(key);
          log.remove(key);
        }
      }
    },
  };
}
