import { hashPair } from '../rendezvous';
import type { QuotaPeer } from './types';

/**
 * Selects the counters of each account from the fleet as this instance sees it. The counter of an account in a region
 * is the instance that counts its spending there.
 */
export interface CounterSelector {
  /** Returns all usable instances, including this one. */
  instances(): readonly QuotaPeer[];
  /** Returns the counter of an account in a region, followed by its backup. */
  select(account: string, region: string): readonly QuotaPeer[];
}

/** Options of the counter selector. */
export interface CounterSelectorOptions {
  /** Returns this instance. */
  readonly self: () => QuotaPeer;
  /** Returns the other usable instances. */
  readonly peers: () => readonly QuotaPeer[];
  readonly nowMs: () => number;
}

/** Interval between two refreshes of the view of the fleet, ms: shorter than the time that detecting a change takes. */
const REFRESH_INTERVAL_MS = 100;

/** Returns the two instances with the highest rendezvous scores for the account. */
function highestTwo(account: string, inRegion: readonly QuotaPeer[]): readonly QuotaPeer[] {
  let [firstScore, secondScore] = [-1, -1];
  let first: QuotaPeer | undefined;
  let second: QuotaPeer | undefined;
  for (const peer of inRegion) {
    const score = hashPair(account, peer.instanceId);
    if (score > firstScore) {
      [second, secondScore] = [first, firstScore];
      [first, firstScore] = [peer, score];
    } else if (score > secondScore) {
      [second, secondScore] = [peer, score];
    }
  }
  return [first, second].flatMap((peer) => peer ?? []);
}

/**
 * Creates a selector that chooses counters by rendezvous hashing. All instances with the same view of the fleet select
 * the same ones. No instance is reserved for counting, and one that leaves is replaced by the one with the next highest
 * score.
 */
export function createCounterSelector({
  self,
  peers,
  nowMs,
}: CounterSelectorOptions): CounterSelector {
  let refreshedAtMs = -Infinity;
  let all: readonly QuotaPeer[] = [];
  let byRegion = new Map<string, QuotaPeer[]>();
  const selectedCounters = new Map<string, readonly QuotaPeer[]>();

  const refresh = (): void => {
    if (nowMs() - refreshedAtMs < REFRESH_INTERVAL_MS) return;
    refreshedAtMs = nowMs();
    all = [...peers(), self()];
    byRegion = new Map();
    for (const peer of all) {
      const inRegion = byRegion.get(peer.region) ?? [];
      inRegion.push(peer);
      byRegion.set(peer.region, inRegion);
    }
    selectedCounters.clear();
  };

  return {
    instances() {
      refresh();
      return all;
    },
    select(account, region) {
      refresh();
      const key = `${region} ${account}`;
      const cached = selectedCounters.get(key);
      if (cached !== undefined) return cached;
      const selected = highestTwo(account, byRegion.get(region) ?? []);
      selectedCounters.set(key, selected);
      return selected;
    },
  };
}
