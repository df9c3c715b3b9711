import type { AccountQuota } from '../client-accounts';
import { createAccountCount } from './account-count';
import type { AccountCount, CountTeller } from './account-count';
import type { Counters } from './counters';
import type { AskVerdict, QuotaMessage } from './messages';
import { createRegionView } from './region-view';
import type { QuotaPeer, ToldCount } from './types';

/** The counts that this instance keeps for its region. */
export interface CountBook {
  ask(account: string, cost: number, nowMs: number): AskVerdict;
  noteSpent(account: string, cost: number, nowMs: number): void;
  /** What is left of an account; undefined where it is not counted here. */
  left(account: string, nowMs: number): number | undefined;
  take(counts: readonly ToldCount[], from: CountTeller, nowMs: number): void;
  /** The counts of these accounts, as far as they are kept here. */
  counts(accounts: readonly string[], nowMs: number): ToldCount[];
  /** Tells those that count the same accounts, if it is time. */
  tell(nowMs: number): void;
}

/** What the counts are kept with. */
export interface CountBookOptions {
  readonly self: () => QuotaPeer;
  readonly counters: Counters;
  /** All regions, this one included. */
  readonly regions: () => readonly string[];
  /** The quota of an account in force; undefined where there is none. */
  readonly quotaOf: (account: string) => AccountQuota | undefined;
  readonly startedAtMs: number;
  /** Names the counts of this process. */
  readonly countId: number;
  readonly send: (address: string, message: QuotaMessage) => void;
}

/** Rest between two statements of a count to the others, ms. */
const TELL_EVERY_MS = 200;
/** Time after the start of a process from which it has been told of all that others count, ms. */
const SETTLED_AFTER_MS = 3_000;
/** Time after which a count that nobody uses is dropped, ms: every bucket is full again by then. */
const FORGET_AFTER_MS = 120_000;

/** Counts of which none has begun. */
export function createCountBook(options: CountBookOptions): CountBook {
  const { self, counters, regions, quotaOf, startedAtMs, send } = options;
  const counts = new Map<string, AccountCount>();
  const view = createRegionView(options);
  let tellAtMs = 0;

  const isStandIn = (account: string): boolean => {
    const { region, instanceId } = self();
    return counters.of(account, region)[0]?.instanceId !== instanceId;
  };

  const countOf = (account: string, nowMs: number): AccountCount => {
    const known = counts.get(account);
    if (known !== undefined) return known;
    const count = createAccountCount({
      region: self().region,
      regions: regions(),
      partOfShare: () => view.partOfShare(isStandIn(account)),
      nowMs,
      countId: options.countId,
      hasSettled: nowMs - startedAtMs >= SETTLED_AFTER_MS,
    });
    counts.set(account, count);
    return count;
  };

  /** Who counts the account in each other region, and who would take over in this one. */
  const listenersOf = (account: string): readonly QuotaPeer[] => {
    const { instanceId } = self();
    return regions().flatMap((region) => {
      const some = counters.of(account, region);
      return some.find((peer) => peer.instanceId !== instanceId) ?? [];
    });
  };

  const dropUnused = (nowMs: number): void => {
    for (const [account, count] of counts) {
      if (nowMs - count.lastUsedAtMs() > FORGET_AFTER_MS) counts.delete(account);
    }
  };

  const tellNow = (accounts: readonly string[], nowMs: number): void => {
    const byAddress = new Map<string, { peer: QuotaPeer; counts: ToldCount[] }>();
    for (const account of accounts) {
      const quota = quotaOf(account);
      const told =
        quota === undefined ? undefined : counts.get(account)?.tell(account, quota, nowMs);
      if (told === undefined) continue;
      for (const peer of listenersOf(account)) {
        const row = byAddress.get(peer.address) ?? { peer, counts: [] };
        row.counts.push(told);
        byAddress.set(peer.address, row);
      }
    }
    const { region } = self();
    for (const [address, { peer, counts: some }] of byAddress) {
      const wantsReply = peer.region !== region;
      send(address, { kind: 'counts', from: self(), wantsReply, counts: some });
    }
  };

  const isToBeTold = (account: string, nowMs: number): boolean => {
    const quota = quotaOf(account);
    return quota !== undefined && (counts.get(account)?.isToBeTold(quota, nowMs) ?? false);
  };

  return {
    ask(account, cost, nowMs) {
      const quota = quotaOf(account);
      if (quota === undefined) return { kind: 'unknownAccount' };
      const wasToBeTold = isToBeTold(account, nowMs);
      const verdict = countOf(account, nowMs).ask(cost, quota, nowMs);
      // The first word must not wait: until the others answer, only a share may be spent.
      if (!wasToBeTold && isToBeTold(account, nowMs)) tellNow([account], nowMs);
      if (verdict.kind === 'granted') return verdict;
      const { left, unheardRegions } = verdict.standing;
      return { ...verdict, standing: { left, unheardRegions: [...unheardRegions] } };
    },
    noteSpent(account, cost, nowMs) {
      const quota = quotaOf(account);
      if (quota !== undefined) countOf(account, nowMs).noteSpent(cost, quota, nowMs);
    },
    left(account, nowMs) {
      const quota = quotaOf(account);
      return quota === undefined ? undefined : counts.get(account)?.left(quota, nowMs);
    },
    take(told, from, nowMs) {
      for (const count of told) {
        const quota = quotaOf(count.account);
        if (quota !== undefined) countOf(count.account, nowMs).take(count, from, quota, nowMs);
      }
    },
    counts: (accounts, nowMs) =>
      accounts.flatMap((account) => {
        const quota = quotaOf(account);
        const told =
          quota === undefined ? undefined : counts.get(account)?.tell(account, quota, nowMs);
        return told ?? [];
      }),
    tell(nowMs) {
      if (nowMs < tellAtMs) return;
      tellAtMs = nowMs + TELL_EVERY_MS;
      view.look(nowMs);
      dropUnused(nowMs);
      tellNow(
        [...counts.keys()].filter((account) => isToBeTold(account, nowMs)),
        nowMs,
      );
    },
  };
}
