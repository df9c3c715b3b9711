import { hashPair } from '../rendezvous';
import type { QuotaPeer } from './types';

/** Who counts what each account spends, as this instance sees the fleet. */
export interface Counters {
  /** All instances in use, this one included. */
  instances(): readonly QuotaPeer[];
  /** The instance of a region that counts an account, and the one that stands in for it. */
  of(account: string, region: string): readonly QuotaPeer[];
}

/** What the choice is made from. */
export interface CountersOptions {
  readonly self: () => QuotaPeer;
  /** The other instances that are in use. */
  readonly peers: () => readonly QuotaPeer[];
  readonly nowMs: () => number;
}

/** Time for which one look at the fleet is used, ms: shorter than it takes to learn of a change. */
const LOOK_EVERY_MS = 100;

function firstTwo(account: string, inRegion: readonly QuotaPeer[]): readonly QuotaPeer[] {
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

/** A choice that all instances make alike from the same view; nobody is set aside, and whoever goes is replaced. */
export function createCounters({ self, peers, nowMs }: CountersOptions): Counters {
  let lookedAtMs = -Infinity;
  let all: readonly QuotaPeer[] = [];
  let byRegion = new Map<string, QuotaPeer[]>();
  const chosen = new Map<string, readonly QuotaPeer[]>();

  const look = (): void => {
    if (nowMs() - lookedAtMs < LOOK_EVERY_MS) return;
    lookedAtMs = nowMs();
    all = [...peers(), self()];
    byRegion = new Map();
    for (const peer of all) {
      const inRegion = byRegion.get(peer.region) ?? [];
      inRegion.push(peer);
      byRegion.set(peer.region, inRegion);
    }
    chosen.clear();
  };

  return {
    instances() {
      look();
      return all;
    },
    of(account, region) {
      look();
      const key = `${region} ${account}`;
      const known = chosen.get(key);
      if (known !== undefined) return known;
      const some = firstTwo(account, byRegion.get(region) ?? []);
      chosen.set(key, some);
      return some;
    },
  };
}
