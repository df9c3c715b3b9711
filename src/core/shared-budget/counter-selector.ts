import { hashPair } from '../rendezvous';
import type { CounterPeer } from './types';

/**
 * Selects the counters of each subject, such as a client account or a server, from the fleet as this instance sees it.
 * The counter of a subject in a region is the instance that counts its spending there.
 */
export interface CounterSelector {
  /** Returns all usable instances, including this one if it counts. */
  instances(): readonly CounterPeer[];
  /** Returns the counter of a subject in a region, followed by its backup. */
  select(subjectId: string, region: string): readonly CounterPeer[];
}

/** Options of the counter selector. */
export interface CounterSelectorOptions {
  /** Returns this instance; undefined while it does not count. */
  readonly self: () => CounterPeer | undefined;
  /** Returns the other usable instances. */
  readonly peers: () => readonly CounterPeer[];
  readonly nowMs: () => number;
}

/** Interval between two refreshes of the view of the fleet, ms: shorter than the time that detecting a change takes. */
const REFRESH_INTERVAL_MS = 100;

/** Returns the two instances with the highest rendezvous scores for the subject. */
function highestTwo(subjectId: string, inRegion: readonly CounterPeer[]): readonly CounterPeer[] {
  let [firstScore, secondScore] = [-1, -1];
  let first: CounterPeer | undefined;
  let second: CounterPeer | undefined;
  for (const peer of inRegion) {
    const score = hashPair(subjectId, peer.instanceId);
    if (score > firstScore) {
      [second, secondScore] = [first, firstScore];
      [first, firstScore] = [peer, score];
    } else if (score > secondScore) {
      [second, secondScore] = [peer, score];
    }
  }
  return [first, second].flatMap((peer) => peer ?? []);
}

function isSameFleet(before: readonly CounterPeer[], after: readonly CounterPeer[]): boolean {
  return (
    before.length === after.length &&
    before.every((peer, index) => {
      const other = after[index];
      return peer.instanceId === other?.instanceId && peer.address === other.address;
    })
  );
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
  let all: readonly CounterPeer[] = [];
  let byRegion = new Map<string, CounterPeer[]>();
  const selectedCounters = new Map<string, readonly CounterPeer[]>();

  const refresh = (): void => {
    if (nowMs() - refreshedAtMs < REFRESH_INTERVAL_MS) return;
    refreshedAtMs = nowMs();
    const ownPeer = self();
    const visible = ownPeer === undefined ? peers() : [...peers(), ownPeer];
    // Scoring a fleet of hundreds for each subject takes far more time than comparing it with the previous view.
    if (isSameFleet(all, visible)) return;
    all = visible;
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
    select(subjectId, region) {
      refresh();
      const key = `${region} ${subjectId}`;
      const cached = selectedCounters.get(key);
      if (cached !== undefined) return cached;
      const selected = highestTwo(subjectId, byRegion.get(region) ?? []);
      selectedCounters.set(key, selected);
      return selected;
    },
  };
}
