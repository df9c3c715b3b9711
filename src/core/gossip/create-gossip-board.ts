import type { Clock } from '../clock';
import { createChangeLog } from '../change-log';
import type { ChangeLog } from '../change-log';
import type { GossipBoard, GossipEntry, GossipTopic } from './types';

/** A board with its other side: what membership's messages carry. */
export interface GossipStore extends GossipBoard {
  /** Takes in statements that came from a peer, and passes the new ones on to the others. */
  receive(entries: readonly GossipEntry[], learnedFrom?: string): void;
  /** Drops statements that have expired. */
  forgetExpired(): void;
  /** Statements in the order in which they were made or learned. */
  readonly log: ChangeLog<GossipEntry>;
}

/**
 * Longest life that is taken from a peer. A clock that runs far ahead would otherwise leave statements behind
 * that nobody forgets. A week is more than any slice asks for.
 */
const LONGEST_LIFE_MS = 7 * 86_400_000;

/** An empty board of one instance. */
export function createGossipBoard(ownInstanceId: string, clock: Clock): GossipStore {
  const entries = new Map<string, GossipEntry>();
  const listeners = new Map<GossipTopic, Set<(entry: GossipEntry) => void>>();
  const log = createChangeLog<GossipEntry>();

  const keyOf = ({ topic, key, origin }: GossipEntry) => `${topic}\n${key}\n${origin}`;

  const keepIfNewer = (entry: GossipEntry, learnedFrom: string | undefined): boolean => {
    const key = keyOf(entry);
    const known = entries.get(key);
    if (known !== undefined && known.version >= entry.version) return false;
    entries.set(key, entry);
    log.append(key, entry, learnedFrom);
    return true;
  };

  const isAcceptable = ({ origin, expiresAtUnixMs }: GossipEntry): boolean => {
    const lifeMs = expiresAtUnixMs - clock.unixMs();
    return origin !== ownInstanceId && lifeMs > 0 && lifeMs <= LONGEST_LIFE_MS;
  };

  return {
    log,
    put(statement) {
      const previous = entries.get(keyOf({ ...statement, origin: ownInstanceId, version: 0 }));
      // Starting from the time keeps a restarted instance ahead of what its former self said.
      const version = Math.max((previous?.version ?? 0) + 1, clock.unixMs());
      keepIfNewer({ ...statement, origin: ownInstanceId, version }, undefined);
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
    receive(received, learnedFrom) {
      for (const entry of received) {
        if (isAcceptable(entry) && keepIfNewer(entry, learnedFrom)) {
          listeners.get(entry.topic)?.forEach((listener) => listener(entry));
        }
      }
    },
    forgetExpired() {
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
