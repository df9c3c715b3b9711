import type { PrefixBlock } from '../work';

/** Index of the engines that probably hold a prompt prefix in their cache. */
export interface PrefixIndex {
  /**
   * Returns engines that probably hold a part of the prompt, and the number of tokens that each holds; at most
   * a few.
   */
  holders(prefixes: readonly PrefixBlock[], nowMs: number): readonly PrefixHolder[];
  /** Records that a prompt was sent to the engine, which will then hold its prefixes. */
  recordSent(serverId: string, prefixes: readonly PrefixBlock[], nowMs: number): void;
  /** Applies an event that the engine published: at `atMs` it stored or evicted the prefix. */
  applyEvent(event: PrefixEvent): void;
  /** Removes an engine that has lost its cache. */
  removeServer(serverId: string): void;
  size(): number;
}

/** An engine and the number of prompt tokens that it probably holds. */
export interface PrefixHolder {
  readonly serverId: string;
  readonly tokens: number;
}

/** A cache event published by an engine; events arrive late, and some are lost. */
export interface PrefixEvent {
  readonly kind: 'stored' | 'evicted';
  readonly serverId: string;
  readonly key: string;
  /** Time of the change, on the clock of this process. */
  readonly atMs: number;
}

/** Limits of a prefix index. */
export interface PrefixIndexOptions {
  /** Maximum number of prefixes; the least recently used are evicted first. */
  readonly maxKeys: number;
  /** TTL of a holder that is not confirmed again, ms. */
  readonly holderTtlMs: number;
}

/**
 * Maximum number of holders returned for one request, so that a prefix held everywhere does not make a
 * decision scan the fleet.
 */
const MAX_HOLDERS = 6;

/** Default limits: about 250 bytes per prefix, 5 MB in total, of the 32 MB that all control code may use. */
export const PREFIX_INDEX_DEFAULTS: PrefixIndexOptions = {
  maxKeys: 20_000,
  holderTtlMs: 600_000,
};

/**
 * Creates an index that is updated by this instance's own routing at once and by cache events as they arrive.
 *
 * An event may be older than what this instance has done since: an eviction from before the last send of its
 * prefix is ignored, since that send stored the prefix again. A lost event leaves a wrong entry until its TTL
 * ends, which costs computing one prompt again.
 */
export function createPrefixIndex(
  options: PrefixIndexOptions = PREFIX_INDEX_DEFAULTS,
): PrefixIndex {
  /** Maps each prefix to its engines and the time at which each was last known to hold it. */
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
    if (holdersByKey.size > options.maxKeys) {
      const [oldest] = holdersByKey.keys();
      if (oldest !== undefined) holdersByKey.delete(oldest);
    }
    return fresh;
  };

  const recordHolder = (key: string, serverId: string, atMs: number) => {
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
          if (found.length >= MAX_HOLDERS) return found;
          const isKnown = found.some((holder) => holder.serverId === serverId);
          const isFresh = nowMs - atMs < options.holderTtlMs;
          if (isFresh && !isKnown) found.push({ serverId, tokens });
        }
      }
      return found;
    },
    recordSent(serverId, prefixes, nowMs) {
      for (const { key } of prefixes) recordHolder(key, serverId, nowMs);
    },
    applyEvent({ kind, serverId, key, atMs }) {
      if (kind === 'stored') {
        recordHolder(key, serverId, atMs);
        return;
      }
      const holders = holdersByKey.get(key);
      const knownAtMs = holders?.get(serverId);
      if (holders === undefined || knownAtMs === undefined || knownAtMs > atMs) return;
      holders.delete(serverId);
      if (holders.size === 0) holdersByKey.delete(key);
    },
    removeServer(serverId) {
      for (const [key, holders] of holdersByKey) {
        if (holders.delete(serverId) && holders.size === 0) holdersByKey.delete(key);
      }
    },
    size: () => holdersByKey.size,
  };
}
