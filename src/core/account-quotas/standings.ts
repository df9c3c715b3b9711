import type { AccountQuota } from '../client-accounts';

/** What those who count have last said is left of each account. */
export interface Standings {
  note(account: string, left: number, nowMs: number): void;
  /** What the last word says of one request. */
  judge(account: string, spending: Spending, nowMs: number): StandingVerdict;
  dropOld(nowMs: number): void;
}

/** What is to be spent of an account. */
export interface Spending {
  readonly cost: number;
  readonly quota: AccountQuota;
  /** What was spent here since it was last told. */
  readonly unpaid: number;
}

/** What is known without asking. */
export type StandingVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'spent'; readonly retryAfterMs: number; readonly left: number }
  /** Too little is known: whoever counts has to be asked. */
  | { readonly kind: 'unknown' };

/** What the standings are kept with. */
export interface StandingsOptions {
  /** Instances among which an account's requests are spread. */
  readonly instances: () => number;
}

/** Time for which a standing is gone by, ms; whoever spends is told the next one several times in it. */
const USED_FOR_MS = 1_000;
/** Part of what is left that one instance may spend before it has told of it: others may do the same meanwhile. */
const UNTOLD_PART = 0.25;
/** Least and most time to come back after, ms. */
const SHORTEST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 30_000;
const MS_PER_S = 1_000;

interface Standing {
  readonly left: number;
  readonly atMs: number;
  /** Up to here, times were given to refused requests. */
  readonly promisedUntilMs: number;
}

/**
 * Standings of which none is known.
 *
 * Answers accounts that ask all the time, many times their usual among them. For each of their requests to wait for an
 * answer of the instance that counts them costs messages just when that one is busiest, and refusals come late; one
 * notices requests late or ended at their deadline while an account is over its quota.
 */
export function createStandings({ instances }: StandingsOptions): Standings {
  const known = new Map<string, Standing>();

  /** Times follow one another at this instance's part of the rate, so that not all come back at once. */
  const refuse = (
    account: string,
    standing: Standing,
    left: number,
    { cost, quota }: Spending,
    nowMs: number,
  ): StandingVerdict => {
    const perMs = quota.perSecond / MS_PER_S;
    const dueAtMs = Math.max(nowMs - left / perMs, standing.promisedUntilMs);
    known.set(account, {
      ...standing,
      promisedUntilMs: dueAtMs + (cost * instances()) / perMs,
    });
    const waitMs = Math.ceil(dueAtMs - nowMs);
    const retryAfterMs = Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs));
    return { kind: 'spent', retryAfterMs, left };
  };

  return {
    note(account, left, nowMs) {
      const promisedUntilMs = known.get(account)?.promisedUntilMs ?? -Infinity;
      known.set(account, { left, atMs: nowMs, promisedUntilMs });
    },
    judge(account, spending, nowMs) {
      const standing = known.get(account);
      if (standing === undefined || nowMs - standing.atMs > USED_FOR_MS) return { kind: 'unknown' };
      const { cost, quota, unpaid } = spending;
      if (unpaid + cost <= standing.left * UNTOLD_PART) return { kind: 'granted' };
      const refilled = (quota.perSecond * (nowMs - standing.atMs)) / MS_PER_S;
      const left = standing.left + refilled - unpaid;
      return left <= 0 ? refuse(account, standing, left, spending, nowMs) : { kind: 'unknown' };
    },
    dropOld(nowMs) {
      for (const [account, { atMs, promisedUntilMs }] of known) {
        if (nowMs - atMs > USED_FOR_MS && promisedUntilMs < nowMs) known.delete(account);
      }
    },
  };
}
