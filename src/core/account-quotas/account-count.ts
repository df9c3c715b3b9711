import type { AccountQuota } from '../client-accounts';
import { refilled, timeUntilPositiveMs, withdraw } from '../shared-budget';
import type { Bucket } from '../shared-budget';
import { regionShares } from './region-shares';
import type { CountReport, QuotaStanding } from './types';

/** Verdict of a count on a request. */
export type CountVerdict =
  | { readonly kind: 'granted'; readonly left: number }
  | { readonly kind: 'spent'; readonly retryAfterMs: number; readonly standing: QuotaStanding };

/** Counts the spending of one account, at the instance that does so for its region. */
export interface AccountCount {
  /** Spends a cost if the quota allows it. */
  ask(cost: number, quota: AccountQuota, nowMs: number): CountVerdict;
  /** Records a cost that was spent without asking; a negative cost is a refund. */
  recordSpent(cost: number, quota: AccountQuota, nowMs: number): void;
  /** Applies a report on the count of another instance. */
  receive(report: CountReport, from: CountSender, quota: AccountQuota, nowMs: number): void;
  /** Returns whether the other counters of the account should receive a report. */
  isReportDue(quota: AccountQuota, nowMs: number): boolean;
  /** Returns a report on this count for other instances. */
  createReport(account: string, quota: AccountQuota, nowMs: number): CountReport;
  /** Returns the remaining quota that may be spent now. */
  left(quota: AccountQuota, nowMs: number): number;
  /** Returns when something was last spent here or reported by another instance. */
  lastUsedAtMs(): number;
}

/** Instance that sent a report on a count. */
export interface CountSender {
  readonly instanceId: string;
  readonly region: string;
}

/** Options of an account count. */
export interface AccountCountOptions {
  readonly region: string;
  /** All regions, including this one. */
  readonly regions: readonly string[];
  /** Returns the fraction of this region's share that may be spent here; other counters in it may be unreachable. */
  readonly shareFraction: () => number;
  readonly nowMs: number;
  readonly countId: number;
  /** Whether the process has run long enough to have received reports on all counts of others. */
  readonly hasSettled: boolean;
}

/**
 * Time without a report from a region after which only a share of the quota is spent, ms. It allows for a few reports,
 * the delay between regions and a slow instance. Until then, each side of a network partition spends the full quota.
 */
export const UNHEARD_AFTER_MS = 700;
/**
 * Fraction of the burst that a region may spend before it receives reports from the others. Three regions may together
 * spend somewhat more than the whole burst.
 */
const BURST_FRACTION = 0.4;
/**
 * Reports are sent while a bucket holds less than this fraction of its capacity. Spending that is refilled at once does
 * not matter to the others.
 */
const REPORT_THRESHOLD = 0.75;
/** Time without spending after which no more reports are sent, ms. */
const IDLE_AFTER_MS = 5_000;
/** Time constant of the moving average of spending, ms. */
const AVERAGING_TIME_MS = 5_000;
/** Time after which a count has received reports on all counts of others, ms. */
const SETTLED_AFTER_MS = 3_000;
/** Of spending reported after a silence, only that of the last second is deducted; the rest has been refilled since. */
const RECENT_S = 1;
/** Maximum retry delay that a caller is given, ms. */
const MAX_RETRY_MS = 30_000;
/** Time within which another region replies to a report, ms. */
const REPLY_DELAY_MS = 250;
const MS_PER_S = 1_000;

interface RemoteCount {
  readonly region: string;
  readonly countId: number;
  readonly total: number;
  readonly perSecond: number;
  readonly atMs: number;
}

/**
 * Creates the count of one account, which holds the account to its quota even if it sends requests through many
 * instances and regions at once.
 *
 * There is no shared state: one instance per region counts the account, and these counters send reports to one another.
 * As long as they receive each other's reports, they all count the same bucket. Before a region receives reports from
 * the others, or while it cannot, its spending is limited to a share, and the shares add up to the quota. Otherwise the
 * quota would be spent once on each side of a network partition.
 */
export function createAccountCount(options: AccountCountOptions): AccountCount {
  const { region, regions, shareFraction, hasSettled } = options;
  const startedAtMs = options.nowMs;
  const remoteCounts = new Map<string, RemoteCount>();
  const lastReportAtMs = new Map<string, number>();
  let shares = regionShares(regions, new Map());
  let isInitialized = false;
  /** Remaining quota over all regions, as far as is known here. */
  let pool: Bucket = { left: 0, atMs: startedAtMs };
  /** Remaining amount of this region's share. */
  let share: Bucket = { left: 0, atMs: startedAtMs };
  let total = 0;
  let perSecond = 0;
  let lastSpentAtMs = -Infinity;
  let lastUsedAtMs = startedAtMs;
  let nextRetryAtMs = -Infinity;
  let shareCapacity = 0;

  const ownShare = () => shares.get(region) ?? 1;
  const burstFraction = () => (regions.length > 1 ? Math.max(ownShare(), BURST_FRACTION) : 1);
  const poolRefill = (quota: AccountQuota) => ({ perSecond: quota.perSecond, most: quota.burst });
  const shareRefill = (quota: AccountQuota) => ({
    perSecond: quota.perSecond * ownShare() * shareFraction(),
    most: quota.burst * burstFraction() * shareFraction(),
  });

  const refill = (quota: AccountQuota, nowMs: number): void => {
    if (!isInitialized && hasSettled) {
      pool = { left: quota.burst, atMs: nowMs };
      share = { left: shareRefill(quota).most, atMs: nowMs };
    }
    isInitialized = true;
    pool = refilled(pool, poolRefill(quota), nowMs);
    share = refilled(share, shareRefill(quota), nowMs);
    shareCapacity = shareRefill(quota).most;
  };

  const isSettled = (nowMs: number): boolean =>
    hasSettled || nowMs - startedAtMs >= SETTLED_AFTER_MS;

  const averagePerSecond = (nowMs: number): number =>
    perSecond * Math.exp(-Math.max(0, nowMs - lastSpentAtMs) / AVERAGING_TIME_MS);

  const spend = (cost: number, nowMs: number): void => {
    total += cost;
    perSecond = averagePerSecond(nowMs) + (cost * MS_PER_S) / AVERAGING_TIME_MS;
    lastSpentAtMs = nowMs;
    lastUsedAtMs = nowMs;
    pool = withdraw(pool, cost);
    share = withdraw(share, cost);
    // Without this bound, the share could be overdrawn without limit while reports arrive, and nothing would remain to
    // be spent during a network partition.
    share = { ...share, left: Math.max(-shareCapacity, share.left) };
  };

  const unheardRegions = (nowMs: number): readonly string[] =>
    regions.filter(
      (other) =>
        other !== region && nowMs - (lastReportAtMs.get(other) ?? -Infinity) > UNHEARD_AFTER_MS,
    );

  /**
   * Returns whether all spending is known here, which is so once all other regions have reported lately. Their reports
   * do not cover other counters of this region. If there is no other region, all spending is known only to the counter
   * that reaches all instances seen recently and therefore has the whole share.
   */
  const knowsAllCounts = (nowMs: number): boolean =>
    unheardRegions(nowMs).length === 0 && (regions.length > 1 || shareFraction() === 1);

  const remainingNow = (nowMs: number): number =>
    Math.floor(knowsAllCounts(nowMs) ? pool.left : Math.min(pool.left, share.left));

  /** Adapts the shares to the usage of each region. During a partition, all sides keep the shares from before it. */
  const updateShares = (nowMs: number): void => {
    if (unheardRegions(nowMs).length > 0) return;
    const used = new Map([[region, averagePerSecond(nowMs)]]);
    for (const other of remoteCounts.values()) {
      used.set(other.region, (used.get(other.region) ?? 0) + other.perSecond);
    }
    shares = regionShares(regions, used);
  };

  /** Refuses a request. Retry times are spaced at the refill rate, so that callers do not all retry at once. */
  const refuse = (cost: number, quota: AccountQuota, nowMs: number): CountVerdict => {
    const unheard = unheardRegions(nowMs);
    const isLimitedByShare = unheard.length > 0 && pool.left > 0;
    const bucket = isLimitedByShare || share.left < pool.left ? share : pool;
    const bucketRefill = bucket === share ? shareRefill(quota) : poolRefill(quota);
    const waitMs = timeUntilPositiveMs(bucket, bucketRefill);
    const standing = { left: Math.floor(bucket.left), unheardRegions: unheard };
    if (isLimitedByShare && waitMs > REPLY_DELAY_MS && lastSpentAtMs > nowMs - UNHEARD_AFTER_MS) {
      // Retry soon: once the other regions have replied, it is known whether they have spent anything.
      return { kind: 'spent', retryAfterMs: REPLY_DELAY_MS, standing };
    }
    const dueAtMs = Math.max(nowMs + waitMs, nextRetryAtMs);
    nextRetryAtMs = dueAtMs + (cost * MS_PER_S) / Math.max(1, bucketRefill.perSecond);
    const retryAfterMs = Math.min(MAX_RETRY_MS, Math.ceil(dueAtMs - nowMs) + 1);
    return { kind: 'spent', retryAfterMs, standing };
  };

  return {
    ask(cost, quota, nowMs) {
      refill(quota, nowMs);
      const areAllCountsKnown = knowsAllCounts(nowMs);
      if (pool.left > 0 && (areAllCountsKnown || share.left > 0)) {
        spend(cost, nowMs);
        return { kind: 'granted', left: remainingNow(nowMs) };
      }
      return refuse(cost, quota, nowMs);
    },
    recordSpent(cost, quota, nowMs) {
      refill(quota, nowMs);
      spend(cost, nowMs);
    },
    receive(report, from, quota, nowMs) {
      refill(quota, nowMs);
      lastUsedAtMs = nowMs;
      const known = remoteCounts.get(from.instanceId);
      const previous = known?.countId === report.countId ? known : undefined;
      const spentRemotely = report.total - (previous?.total ?? 0);
      const isRecent = previous !== undefined && nowMs - previous.atMs <= UNHEARD_AFTER_MS;
      const maxSpent = isRecent ? Infinity : report.perSecond * RECENT_S;
      if (!isSettled(nowMs) && report.isSettled) pool = { left: report.left, atMs: nowMs };
      else pool = withdraw(pool, Math.min(maxSpent, spentRemotely));
      lastReportAtMs.set(from.region, nowMs);
      const { total: reportedTotal, perSecond: reportedPerSecond } = report;
      remoteCounts.set(from.instanceId, {
        region: from.region,
        countId: report.countId,
        total: reportedTotal,
        perSecond: reportedPerSecond,
        atMs: nowMs,
      });
      updateShares(nowMs);
    },
    isReportDue(quota, nowMs) {
      if (nowMs - lastSpentAtMs > IDLE_AFTER_MS) return false;
      refill(quota, nowMs);
      const { most } = shareRefill(quota);
      return share.left < most * REPORT_THRESHOLD || pool.left < quota.burst * REPORT_THRESHOLD;
    },
    createReport(account, quota, nowMs) {
      refill(quota, nowMs);
      return {
        account,
        countId: options.countId,
        total,
        perSecond: averagePerSecond(nowMs),
        left: pool.left,
        isSettled: isSettled(nowMs),
      };
    },
    left(quota, nowMs) {
      refill(quota, nowMs);
      return remainingNow(nowMs);
    },
    lastUsedAtMs: () => lastUsedAtMs,
  };
}
