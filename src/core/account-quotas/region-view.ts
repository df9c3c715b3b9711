import type { Counters } from './counters';
import type { QuotaPeer } from './types';

/** Remembers how many instances there have been, to know how much of its region this one still reaches. */
export interface RegionView {
  /** Notes who is there now; to be called all the time, also where nothing is counted yet. */
  look(nowMs: number): void;
  /** Part of its region's share that an instance may spend as the one that counts an account. */
  partOfShare(isStandIn: boolean): number;
}

/** What the view is made from. */
export interface RegionViewOptions {
  readonly self: () => QuotaPeer;
  readonly counters: Pick<Counters, 'instances'>;
  /** All regions, this one included. */
  readonly regions: () => readonly string[];
}

/** Time for which instances that are not seen any more are reckoned with, ms: a cut may last for minutes. */
const REMEMBERED_FOR_MS = 120_000;
/** Part of the share for an instance that stands in for the one that counts, which may be there all the same. */
const STAND_IN_PART = 0.25;
/** Parts of a quota that all instances may spend without asking, twice over: an instance alone has that besides. */
const PARTS_UNASKED = 64;
/**
 * A view that has seen nobody.
 *
 * Answers cuts within a region. Each part finds an instance of its own that counts, and each of those would spend the share
 * of the whole region. So a part spends as much of it as it has instances among those that were there lately, and one that
 * reaches nobody spends what all could spend at once in that state.
 */
export function createRegionView({ self, counters, regions }: RegionViewOptions): RegionView {
  const seenAtMs = new Map<string, { readonly region: string; readonly atMs: number }>();
  let part = 1;

  const look = (nowMs: number): void => {
    const here = self();
    const now = counters.instances();
    for (const { instanceId, region } of now) seenAtMs.set(instanceId, { region, atMs: nowMs });
    for (const [instanceId, { atMs }] of seenAtMs) {
      if (nowMs - atMs > REMEMBERED_FOR_MS) seenAtMs.delete(instanceId);
    }
    const known = [...seenAtMs.values()];
    const knownHere = known.filter(({ region }) => region === here.region).length;
    const seenHere = now.filter(({ region }) => region === here.region).length;
    if (now.length > 1 || known.length === 1) {
      part = seenHere / knownHere;
      return;
    }
    const ofQuota = Math.max(0, 1 / known.length - 1 / PARTS_UNASKED);
    part = Math.min(1, ofQuota * regions().length);
  };

  return {
    look,
    partOfShare: (isStandIn) => (isStandIn ? part * STAND_IN_PART : part),
  };
}
