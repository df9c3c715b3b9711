import type { AccountQuota } from '../client-accounts';
import type { CounterPeer, CounterSelector } from '../shared-budget';
import { createAccountCount } from './account-count';
import type { AccountCount, CountSender } from './account-count';
import type { AskVerdict, QuotaMessage } from './messages';
import { createRegionView } from './region-view';
import type { CountReport } from './types';

/** The account counts that this instance keeps for its region. */
export interface RegionalCounts {
  /** Spends a cost of an account if its quota allows it. */
  ask(account: string, cost: number, nowMs: number): AskVerdict;
  /** Records a cost that was spent without asking; a negative cost is a refund. */
  recordSpent(account: string, cost: number, nowMs: number): void;
  /** Returns the remaining quota of an account; undefined if it is not counted here. */
  left(account: string, nowMs: number): number | undefined;
  /** Applies reports from another instance. */
  receive(counts: readonly CountReport[], from: CountSender, nowMs: number): void;
  /** Returns a report on each of the accounts that is counted here, to reply to reports of another instance. */
  counts(accounts: readonly string[], nowMs: number): CountReport[];
  /** Sends the reports that are due to the other counters and deletes idle counts. Must be called regularly. */
  sendDueReports(nowMs: number): void;
}

/** Options of the regional counts. */
export interface RegionalCountsOptions {
  readonly self: () => CounterPeer;
  readonly counters: CounterSelector;
  /** Returns all regions, including this one. */
  readonly regions: () => readonly string[];
  /** Returns the quota in force for an account; undefined if it has none. */
  readonly quotaOf: (account: string) => AccountQuota | undefined;
  readonly startedAtMs: number;
  /** Identifies the counts of this process. */
  readonly countId: number;
  readonly send: (address: string, message: QuotaMessage) => void;
}

/** Interval between two reports on a count to the other counters, ms. */
const REPORT_INTERVAL_MS = 200;
/** Time after the start of a process by which it has received reports on all counts of others, ms. */
const SETTLED_AFTER_MS = 3_000;
/** Time after which an unused count is deleted, ms. Every bucket is full again by then. */
const IDLE_TTL_MS = 120_000;

/** Creates the counts of a region. The count of an account starts with its first request or report. */
export function createRegionalCounts(options: RegionalCountsOptions): RegionalCounts {
  const { self, counters, regions, quotaOf, startedAtMs, send } = options;
  const counts = new Map<string, AccountCount>();
  const view = createRegionView(options);
  let nextReportAtMs = 0;

  const isBackup = (account: string): boolean => {
    const { region, instanceId } = self();
    return counters.select(account, region)[0]?.instanceId !== instanceId;
  };

  /** Returns the count of an account, which is created if there is none. */
  const countOf = (account: string, nowMs: number): AccountCount => {
    const known = counts.get(account);
    if (known !== undefined) return known;
    const count = createAccountCount({
      region: self().region,
      regions: regions(),
      shareFraction: () => view.shareFraction(isBackup(account)),
      nowMs,
      countId: options.countId,
      hasSettled: nowMs - startedAtMs >= SETTLED_AFTER_MS,
    });
    counts.set(account, count);
    return count;
  };

  /** Returns the counter of the account in each other region, and the other one (counter or backup) in this region. */
  const recipientsOf = (account: string): readonly CounterPeer[] => {
    const { instanceId } = self();
    return regions().flatMap((region) => {
      const selected = counters.select(account, region);
      return selected.find((peer) => peer.instanceId !== instanceId) ?? [];
    });
  };

  const deleteIdle = (nowMs: number): void => {
    for (const [account, count] of counts) {
      if (nowMs - count.lastUsedAtMs() > IDLE_TTL_MS) counts.delete(account);
    }
  };

  const sendReports = (accounts: readonly string[], nowMs: number): void => {
    const byAddress = new Map<string, { peer: CounterPeer; counts: CountReport[] }>();
    for (const account of accounts) {
      const quota = quotaOf(account);
      const report =
        quota === undefined ? undefined : counts.get(account)?.createReport(account, quota, nowMs);
      if (report === undefined) continue;
      for (const peer of recipientsOf(account)) {
        const batch = byAddress.get(peer.address) ?? { peer, counts: [] };
        batch.counts.push(report);
        byAddress.set(peer.address, batch);
      }
    }
    const { region } = self();
    for (const [address, { peer, counts: reports }] of byAddress) {
      const wantsReply = peer.region !== region;
      send(address, { kind: 'counts', from: self(), wantsReply, counts: reports });
    }
  };

  const isReportDue = (account: string, nowMs: number): boolean => {
    const quota = quotaOf(account);
    return quota !== undefined && (counts.get(account)?.isReportDue(quota, nowMs) ?? false);
  };

  return {
    ask(account, cost, nowMs) {
      const quota = quotaOf(account);
      if (quota === undefined) return { kind: 'unknownAccount' };
      const wasReportDue = isReportDue(account, nowMs);
      const verdict = countOf(account, nowMs).ask(cost, quota, nowMs);
      // The first report is sent at once: until the others reply, only a share may be spent.
      if (!wasReportDue && isReportDue(account, nowMs)) sendReports([account], nowMs);
      if (verdict.kind === 'granted') return verdict;
      const { left, unheardRegions } = verdict.standing;
      return { ...verdict, standing: { left, unheardRegions: [...unheardRegions] } };
    },
    recordSpent(account, cost, nowMs) {
      const quota = quotaOf(account);
      if (quota !== undefined) countOf(account, nowMs).recordSpent(cost, quota, nowMs);
    },
    left(account, nowMs) {
      const quota = quotaOf(account);
      return quota === undefined ? undefined : counts.get(account)?.left(quota, nowMs);
    },
    receive(reports, from, nowMs) {
      for (const report of reports) {
        const quota = quotaOf(report.account);
        if (quota !== undefined) countOf(report.account, nowMs).receive(report, from, quota, nowMs);
      }
    },
    counts: (accounts, nowMs) =>
      accounts.flatMap((account) => {
        const quota = quotaOf(account);
        const report =
          quota === undefined
            ? undefined
            : counts.get(account)?.createReport(account, quota, nowMs);
        return report ?? [];
      }),
    sendDueReports(nowMs) {
      if (nowMs < nextReportAtMs) return;
      nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
      view.update(nowMs);
      deleteIdle(nowMs);
      sendReports(
        [...counts.keys()].filter((account) => isReportDue(account, nowMs)),
        nowMs,
      );
    },
  };
}
