import type { PrefixBlock } from '../work';

/** Which engines probably hold which prompt prefixes. */
export interface PrefixIndex {
  /** Engines that probably hold a part of the prompt, with the tokens that each holds; a few at most. */
  holders(prefixes: readonly PrefixBlock[], nowMs: number): readonly PrefixHolder[];
  /** A prompt was sent to the engine, which will hold its prefixes. */
  noteSent(serverId: string, prefixes: readonly PrefixBlock[], nowMs: number): void;
  /** The engine said at `atMs` that it holds the prefix, or holds it no more. */
  noteEvent(event: PrefixEvent): void;
  /** The engine has lost its cache. */
  forgetServer(serverId: string): void;
  size(): number;
}

/** An engine and how much of a prompt it probably holds. */
export interface PrefixHolder {
  readonly serverId: string;
  readonly tokens: number;
}

/** A cache event as an engine published it; it comes late, and some never come. */
export interface PrefixEvent {
  readonly kind: 'stored' | 'evicted';
  readonly serverId: string;
  readonly key: string;
  /** When the engine did it, on the clock of this process. */
  readonly atMs: number;
}

/** Bounds of an index. */
export interface PrefixIndexOptions {
  /** Most prefixes kept; the least recently used go first. */
  readonly mostKeys: number;
  /** A holder that nobody confirmed for this long counts as one no more. */
  readonly holderLifetimeMs: number;
}

/** Holders named for one request, so that a prefix held everywhere does not make a decision scan the fleet. */
const MOST_HOLDERS = 6;

/** About 250 bytes a prefix: 5 MB in all, of the 32 MB that control may take. */
export const PREFIX_INDEX_DEFAULTS: PrefixIndexOptions = {
  mostKeys: 20_000,
  holderLifetimeMs: 600_000,
};

/**
 * An index that learns from this instance's own routing at once and from cache events as they come.
 *
 * An event is older than what this instance did since: an eviction told of before the last send of that prefix
 * is passed over, since the send has stored it again. Lost events leave an entry wrong until its
 * lifetime ends; what that costs is one prompt computed again.
 */
export function createPrefixIndex(
  options: PrefixIndexOptions = PREFIX_INDEX_DEFAULTS,
): PrefixIndex {
  /** Of each prefix, the engines and when each was last known to hold it. */
  const holdersByKey = new Map<string, Map<string, number>>();

  const touch = (key: string): Map<string, number> => {
    const known = holdersByKey.get(key);
    if (known !== undefined) {
      holdersByKey.delete(key);
      holdersByKey.set(key, known);
      return known;
    }
    const fresh = new Map<string, number>();
    holdersByKey.set(key, fresh);
    if (holdersByKey.size > options.mostKeys) {
      const [oldest] = holdersByKey.keys();
      if (oldest !== undefined) holdersByKey.delete(oldest);
    }
    return fresh;
  };

  const noteHolder = (key: string, serverId: string, atMs: number) => {
    const holders = touch(key);
    const knownAtMs = holders.get(serverId) ?? Number.NEGATIVE_INFINITY;
    holders.delete(serverId);
    holders.set(serverId, Math.max(knownAtMs, atMs));
  };

  return {
    holders(prefixes, nowMs) {
      const found: PrefixHolder[] = [];
      for (let level = prefixes.length - 1; level >= 0; level -= 1) {
        const { key, tokens } = prefixes[level] as PrefixBlock;
        for (const [serverId, atMs] of holdersByKey.get(key) ?? []) {
          if (found.length >= MOST_HOLDERS) return found;
          const isKnown = found.some((holder) => holder.serverId === serverId);
          const isFresh = nowMs - atMs < options.holderLifetimeMs;
          if (isFresh && !isKnown) found.push({ serverId, tokens });
        }
      }
      return found;
    },
    noteSent(serverId, prefixes, nowMs) {
      for (const { key } of prefixes) noteHolder(key, serverId, nowMs);
    },
    noteEvent({ kind, serverId, key, atMs }) {
      if (kind === 'stored') {
        noteHolder(key, serverId, atMs);
        return;
      }
      const holders = holdersByKey.get(key);
      const knownAtMs = holders?.get(serverId);
      if (holders === undefined || knownAtMs === undefined || knownAtMs > atMs) return;
      holders.delete(serverId);
      if (holders.size === 0) holdersByKey.delete(key);
    },
    forgetServer(serverId) {
      for (const [key, holders] of holdersByKey) {
        if (holders.delete(serverId) && holders.size === 0) holdersByKey.delete(key);
      }
    },
    size: () => holdersByKey.size,
  };
}
