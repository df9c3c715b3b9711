import type { AccountQuota } from '../client-accounts';
import { refilled, untilPositiveMs, without } from './bucket';
import type { Bucket } from './bucket';
import { regionShares } from './region-shares';
import type { QuotaStanding, ToldCount } from './types';

/** What a count says to a request. */
export type CountVerdict =
  | { readonly kind: 'granted'; readonly left: number }
  | { readonly kind: 'spent'; readonly retryAfterMs: number; readonly standing: QuotaStanding };

/** Counts what one account spends, at the instance that does so for its region. */
export interface AccountCount {
  ask(cost: number, quota: AccountQuota, nowMs: number): CountVerdict;
  /** Notes what was spent without asking; a negative cost is given back. */
  noteSpent(cost: number, quota: AccountQuota, nowMs: number): void;
  /** Takes what another instance counts. */
  take(told: ToldCount, from: CountTeller, quota: AccountQuota, nowMs: number): void;
  /** Whether other regions are to be told. */
  isToBeTold(quota: AccountQuota, nowMs: number): boolean;
  tell(account: string, quota: AccountQuota, nowMs: number): ToldCount;
  /** What may be spent now. */
  left(quota: AccountQuota, nowMs: number): number;
  /** When something was last spent here or told. */
  lastUsedAtMs(): number;
}

/** Who tells of a count. */
export interface CountTeller {
  readonly instanceId: string;
  readonly region: string;
}

/** What a count is begun with. */
export interface AccountCountOptions {
  readonly region: string;
  /** All regions, this one included. */
  readonly regions: readonly string[];
  /** Part of this region's share that may be spent here: other counters of it may not be reached. */
  readonly partOfShare: () => number;
  readonly nowMs: number;
  readonly countId: number;
  /** Whether the process has run for long enough to have been told of all that others count. */
  readonly hasSettled: boolean;
}

/**
 * Time without word of a region after which only a share of the quota is spent, ms: a few statements, the way between
 * regions and a slow instance. Until then each side of a cut spends all of it.
 */
export const UNHEARD_AFTER_MS = 700;
/** Part of the burst that a region may spend before it hears the others; with three regions they may spend somewhat more than all of it. */
const BURST_UNHEARD = 0.4;
/** Below this part of what there can be, the others are told: spending that is made up for at once concerns nobody. */
const TELL_BELOW = 0.75;
/** Time without spending after which nobody is told any more, ms. */
const QUIET_AFTER_MS = 5_000;
/** Time over which spending is averaged, ms. */
const AVERAGED_MS = 5_000;
/** Time after which a count has been told of all that others count, ms. */
const SETTLED_AFTER_MS = 3_000;
/** Of spending that is heard of after a silence, what the last second has taken still counts; the rest was made up for. */
const RECENT_S = 1;
/** Latest time that a caller is told to come back at, ms. */
const LONGEST_RETRY_MS = 30_000;
/** Time after which a region that has just been told has been heard as well, ms. */
const HEARING_MS = 250;
const MS_PER_S = 1_000;

interface OtherCount {
  readonly region: string;
  readonly countId: number;
  readonly total: number;
  readonly perSecond: number;
  readonly atMs: number;
}

/**
 * The count of one account.
 *
 * Answers an account that asks more than its quota, through many instances and regions at once. Nothing is shared, so
 * each region counts at one instance, and those of an account tell one another. While they hear one another they all
 * count one bucket. What a region spends before it hears the others, or while it cannot, is held to a share, and the
 * shares add up to the quota; one would notice the lack of that by a quota that is spent once in each part of a cut.
 */
export function createAccountCount(options: AccountCountOptions): AccountCount {
  const { region, regions, partOfShare, hasSettled } = options;
  const beganAtMs = options.nowMs;
  const others = new Map<string, OtherCount>();
  const heardAtMs = new Map<string, number>();
  let shares = regionShares(regions, new Map());
  let isFilled = false;
  /** What is left over all regions, as far as is known here. */
  let pool: Bucket = { left: 0, atMs: beganAtMs };
  /** What is left of this region's share. */
  let share: Bucket = { left: 0, atMs: beganAtMs };
  let total = 0;
  let perSecond = 0;
  let spentAtMs = -Infinity;
  let usedAtMs = beganAtMs;
  let promisedUntilMs = -Infinity;
  let shareMost = 0;

  const ownShare = () => shares.get(region) ?? 1;
  const burstUnheard = () => (regions.length > 1 ? Math.max(ownShare(), BURST_UNHEARD) : 1);
  const poolRefill = (quota: AccountQuota) => ({ perSecond: quota.perSecond, most: quota.burst });
  const shareRefill = (quota: AccountQuota) => ({
    perSecond: quota.perSecond * ownShare() * partOfShare(),
    most: quota.burst * burstUnheard() * partOfShare(),
  });

  const refill = (quota: AccountQuota, nowMs: number): void => {
    if (!isFilled && hasSettled) {
      pool = { left: quota.burst, atMs: nowMs };
      share = { left: shareRefill(quota).most, atMs: nowMs };
    }
    isFilled = true;
    pool = refilled(pool, poolRefill(quota), nowMs);
    share = refilled(share, shareRefill(quota), nowMs);
    shareMost = shareRefill(quota).most;
  };

  const isSettled = (nowMs: number): boolean => hasSettled || nowMs - beganAtMs >= SETTLED_AFTER_MS;

  const averaged = (nowMs: number): number =>
    perSecond * Math.exp(-Math.max(0, nowMs - spentAtMs) / AVERAGED_MS);

  const spend = (cost: number, nowMs: number): void => {
    total += cost;
    perSecond = averaged(nowMs) + (cost * MS_PER_S) / AVERAGED_MS;
    spentAtMs = nowMs;
    usedAtMs = nowMs;
    pool = without(pool, cost);
    share = without(share, cost);
    // Overdrawn without end, while others are heard, it would leave nothing for a cut.
    share = { ...share, left: Math.max(-shareMost, share.left) };
  };

  const unheardRegions = (nowMs: number): readonly string[] =>
    regions.filter(
      (other) => other !== region && nowMs - (heardAtMs.get(other) ?? -Infinity) > UNHEARD_AFTER_MS,
    );

  /** Where others of this region may count as well, what the other regions tell says nothing of those. */
  const hearsAll = (nowMs: number): boolean =>
    unheardRegions(nowMs).length === 0 && (regions.length > 1 || partOfShare() === 1);

  const leftNow = (nowMs: number): number =>
    Math.floor(hearsAll(nowMs) ? pool.left : Math.min(pool.left, share.left));

  /** Follows what each region uses, for as long as all are heard; in a cut all sides go by what stood before it. */
  const updateShares = (nowMs: number): void => {
    if (unheardRegions(nowMs).length > 0) return;
    const used = new Map([[region, averaged(nowMs)]]);
    for (const other of others.values()) {
      used.set(other.region, (used.get(other.region) ?? 0) + other.perSecond);
    }
    shares = regionShares(regions, used);
  };

  /** Times to come back follow one another at the rate of refilling, so that not all come at once. */
  const refuse = (cost: number, quota: AccountQuota, nowMs: number): CountVerdict => {
    const unheard = unheardRegions(nowMs);
    const isHeld = unheard.length > 0 && pool.left > 0;
    const bucket = isHeld || share.left < pool.left ? share : pool;
    const refillOf = bucket === share ? shareRefill(quota) : poolRefill(quota);
    const waitMs = untilPositiveMs(bucket, refillOf);
    const standing = { left: Math.floor(bucket.left), unheardRegions: unheard };
    if (isHeld && waitMs > HEARING_MS && spentAtMs > nowMs - UNHEARD_AFTER_MS) {
      // Whether the others have spent anything is known as soon as they have answered.
      return { kind: 'spent', retryAfterMs: HEARING_MS, standing };
    }
    const dueAtMs = Math.max(nowMs + waitMs, promisedUntilMs);
    promisedUntilMs = dueAtMs + (cost * MS_PER_S) / Math.max(1, refillOf.perSecond);
    const retryAfterMs = Math.min(LONGEST_RETRY_MS, Math.ceil(dueAtMs - nowMs) + 1);
    return { kind: 'spent', retryAfterMs, standing };
  };

  return {
    ask(cost, quota, nowMs) {
      refill(quota, nowMs);
      const isAllHeard = hearsAll(nowMs);
      if (pool.left > 0 && (isAllHeard || share.left > 0)) {
        spend(cost, nowMs);
        return { kind: 'granted', left: leftNow(nowMs) };
      }
      return refuse(cost, quota, nowMs);
    },
    noteSpent(cost, quota, nowMs) {
      refill(quota, nowMs);
      spend(cost, nowMs);
    },
    take(told, from, quota, nowMs) {
      refill(quota, nowMs);
      usedAtMs = nowMs;
      const known = others.get(from.instanceId);
      const before = known?.countId === told.countId ? known : undefined;
      const spentThere = told.total - (before?.total ?? 0);
      const hasHeardLately = before !== undefined && nowMs - before.atMs <= UNHEARD_AFTER_MS;
      const mostSpent = hasHeardLately ? Infinity : told.perSecond * RECENT_S;
      if (!isSettled(nowMs) && told.isSettled) pool = { left: told.left, atMs: nowMs };
      else pool = without(pool, Math.min(mostSpent, spentThere));
      heardAtMs.set(from.region, nowMs);
      const { total: toldTotal, perSecond: toldPerSecond } = told;
      others.set(from.instanceId, {
        region: from.region,
        countId: told.countId,
        total: toldTotal,
        perSecond: toldPerSecond,
        atMs: nowMs,
      });
      updateShares(nowMs);
    },
    isToBeTold(quota, nowMs) {
      if (nowMs - spentAtMs > QUIET_AFTER_MS) return false;
      refill(quota, nowMs);
      const { most } = shareRefill(quota);
      return share.left < most * TELL_BELOW || pool.left < quota.burst * TELL_BELOW;
    },
    tell(account, quota, nowMs) {
      refill(quota, nowMs);
      return {
        account,
        countId: options.countId,
        total,
        perSecond: averaged(nowMs),
        left: pool.left,
        isSettled: isSettled(nowMs),
      };
    },
    left(quota, nowMs) {
      refill(quota, nowMs);
      return leftNow(nowMs);
    },
    lastUsedAtMs: () => usedAtMs,
  };
}
