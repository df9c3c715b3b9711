import type { AccountQuota } from '../client-accounts';

/** What those who count have last said is left of each account. */
export interface Standings {
  note(account: string, left: number, nowMs: number): void;
  /** Whether so much is left that a request need not wait for an answer; it is told and paid for all the same. */
  allows(spending: Spending, account: string, nowMs: number): boolean;
  dropOld(nowMs: number): void;
}

/** What is to be spent of an account. */
export interface Spending {
  readonly cost: number;
  readonly quota: AccountQuota;
  /** What was spent here since it was last told. */
  readonly unpaid: number;
}

/** Time for which a standing is gone by, ms; whoever spends is told the next one several times in it. */
const USED_FOR_MS = 1_000;
/** Part of the burst that has to be left: closer to its limit, an account is counted request by request. */
const LEAST_LEFT = 0.5;
/** Part of what is left that one instance may spend before it has told of it: others may do the same meanwhile. */
const UNTOLD_PART = 0.25;

/**
 * Standings of which none is known.
 *
 * Answers accounts that ask all the time and far below their quota: for each of their requests to wait for an answer of
 * another instance costs a message and, where that one is busy, more time than some of them have.
 */
export function createStandings(): Standings {
  const known = new Map<string, { readonly left: number; readonly atMs: number }>();
  return {
    note(account, left, nowMs) {
      known.set(account, { left, atMs: nowMs });
    },
    allows({ cost, quota, unpaid }, account, nowMs) {
      const standing = known.get(account);
      if (standing === undefined || nowMs - standing.atMs > USED_FOR_MS) return false;
      const { left } = standing;
      return left >= quota.burst * LEAST_LEFT && unpaid + cost <= left * UNTOLD_PART;
    },
    dropOld(nowMs) {
      for (const [account, { atMs }] of known) {
        if (nowMs - atMs > USED_FOR_MS) known.delete(account);
      }
    },
  };
}
