import type { CounterPeer, CounterSelector } from '../shared-budget';

/** Tracks the instances seen recently, to estimate how much of its region this instance still reaches. */
export interface RegionView {
  /** Records the instances reachable now. Must be called regularly, even while nothing is counted yet. */
  update(nowMs: number): void;
  /** Returns the fraction of the region's share that this instance may grant as the counter or backup of an account. */
  shareFraction(isBackup: boolean): number;
}

/** Options of the region view. */
export interface RegionViewOptions {
  readonly self: () => CounterPeer;
  readonly counters: Pick<CounterSelector, 'instances'>;
  /** Returns all regions, including this one. */
  readonly regions: () => readonly string[];
}

/** Time for which unreachable instances still count as present, ms: a network partition may last for minutes. */
const SEEN_TTL_MS = 120_000;
/** Fraction of the share that a backup may grant, since the counter may still be running, but unreachable from here. */
const BACKUP_FRACTION = 0.25;
/**
 * 1 / RESERVE_PARTS of the quota is deducted from what an isolated instance may grant, since it may also spend its
 * local reserve. The value is twice `MIN_PARTS` of the local reserve.
 */
const RESERVE_PARTS = 64;

/**
 * Creates a region view, which limits spending during a network partition within a region.
 *
 * Each side of the partition selects a counter of its own, and each counter would spend the share of the whole region.
 * Therefore a side spends only the fraction of the share that matches its fraction of the recently seen instances of
 * the region. An instance that reaches no other one spends at most an equal part of the quota, so that all instances
 * together would keep to the quota if each of them were isolated.
 */
export function createRegionView({ self, counters, regions }: RegionViewOptions): RegionView {
  const seen = new Map<string, { readonly region: string; readonly atMs: number }>();
  let fraction = 1;

  const update = (nowMs: number): void => {
    const ownPeer = self();
    const reachable = counters.instances();
    for (const { instanceId, region } of reachable) seen.set(instanceId, { region, atMs: nowMs });
    for (const [instanceId, { atMs }] of seen) {
      if (nowMs - atMs > SEEN_TTL_MS) seen.delete(instanceId);
    }
    const known = [...seen.values()];
    const knownInRegion = known.filter(({ region }) => region === ownPeer.region).length;
    const reachableInRegion = reachable.filter(({ region }) => region === ownPeer.region).length;
    if (reachable.length > 1 || known.length === 1) {
      fraction = reachableInRegion / knownInRegion;
      return;
    }
    const quotaFraction = Math.max(0, 1 / known.length - 1 / RESERVE_PARTS);
    fraction = Math.min(1, quotaFraction * regions().length);
  };

  return {
    update,
    shareFraction: (isBackup) => (isBackup ? fraction * BACKUP_FRACTION : fraction),
  };
}
