import type { DemandOutcome, DemandRate } from './types';

/** Period that a rate covers: the short one follows changes, the long one has enough requests at a quiet instance. */
export type DemandSpan = 'short' | 'long';

/** Demand of the accounts of one service at this instance. Costs are rates per second over the recent past. */
export interface OwnDemand {
  record(account: string, cost: number, outcome: DemandOutcome, nowMs: number): void;
  /** Moves the cost of a request that was recorded as admitted to the refused cost. */
  recordLateRefusal(cost: number, nowMs: number): void;
  /** Returns the demand of all accounts that have not been idle for long. */
  accounts(span: DemandSpan, nowMs: number): ReadonlyMap<string, DemandRate>;
  /** Returns the number of accounts, including idle ones that have not been dropped. */
  accountCount(): number;
  admittedCost(span: DemandSpan, nowMs: number): number;
  /** Returns the cost that the servers had no room for. */
  refusedCost(span: DemandSpan, nowMs: number): number;
  /** Returns the time since the servers last had no room for a request, ms; Infinity if that has not happened. */
  sinceFullMs(nowMs: number): number;
  /** Drops idle accounts; returns whether none is left. */
  dropIdle(nowMs: number): boolean;
}

/**
 * Time constants of the decayed sums, ms. With the short one, a change of demand takes effect within about a second.
 * The long one covers ten times as many requests.
 */
const TIME_CONSTANT_MS: Readonly<Record<DemandSpan, number>> = { short: 700, long: 7_000 };
/** Time without a request after which an account is dropped, ms: its short rate is below 10^-6 of what it was. */
const MAX_IDLE_MS = 10_000;
const MS_PER_S = 1_000;

/** Decayed sums of costs over both spans. */
interface Sums {
  readonly short: number;
  readonly long: number;
  readonly atMs: number;
}

interface AccountSums {
  readonly cost: Sums;
  readonly squaredCost: Sums;
}

function decayFactor(span: DemandSpan, elapsedMs: number): number {
  return Math.exp(-Math.max(0, elapsedMs) / TIME_CONSTANT_MS[span]);
}

const NO_SUMS: Sums = { short: 0, long: 0, atMs: 0 };

/** Returns the sums with an amount added. */
function plus(sums: Sums, amount: number, nowMs: number): Sums {
  const elapsedMs = nowMs - sums.atMs;
  return {
    short: Math.max(0, sums.short * decayFactor('short', elapsedMs) + amount),
    long: Math.max(0, sums.long * decayFactor('long', elapsedMs) + amount),
    atMs: nowMs,
  };
}

/** Returns the sum at present; divided by the time constant, it is a rate. */
function sumAt(sums: Sums, span: DemandSpan, nowMs: number): number {
  return sums[span] * decayFactor(span, nowMs - sums.atMs);
}

function rateAt(sums: Sums, span: DemandSpan, nowMs: number): number {
  return (sumAt(sums, span, nowMs) * MS_PER_S) / TIME_CONSTANT_MS[span];
}

/** Creates an empty record of the demand for one service. */
export function createOwnDemand(): OwnDemand {
  const byAccount = new Map<string, AccountSums>();
  let admitted = NO_SUMS;
  let refused = NO_SUMS;
  let fullAtMs = -Infinity;
  const isIdle = ({ cost }: AccountSums, nowMs: number) => nowMs - cost.atMs > MAX_IDLE_MS;
  return {
    record(account, cost, outcome, nowMs) {
      const sums = byAccount.get(account);
      byAccount.set(account, {
        cost: plus(sums?.cost ?? NO_SUMS, cost, nowMs),
        squaredCost: plus(sums?.squaredCost ?? NO_SUMS, cost ** 2, nowMs),
      });
      if (outcome === 'admitted') admitted = plus(admitted, cost, nowMs);
      if (outcome !== 'refusedByServers') return;
      refused = plus(refused, cost, nowMs);
      fullAtMs = nowMs;
    },
    recordLateRefusal(cost, nowMs) {
      admitted = plus(admitted, -cost, nowMs);
      refused = plus(refused, cost, nowMs);
      fullAtMs = nowMs;
    },
    accounts(span, nowMs) {
      const squaredPerS = (MS_PER_S / TIME_CONSTANT_MS[span]) ** 2;
      const rates = new Map<string, DemandRate>();
      for (const [account, sums] of byAccount) {
        if (isIdle(sums, nowMs)) continue;
        const cost = rateAt(sums.cost, span, nowMs);
        const variance = sumAt(sums.squaredCost, span, nowMs) * squaredPerS;
        rates.set(account, { cost, variance });
      }
      return rates;
    },
    accountCount: () => byAccount.size,
    admittedCost: (span, nowMs) => rateAt(admitted, span, nowMs),
    refusedCost: (span, nowMs) => rateAt(refused, span, nowMs),
    sinceFullMs: (nowMs) => nowMs - fullAtMs,
    dropIdle(nowMs) {
      for (const [account, sums] of byAccount) if (isIdle(sums, nowMs)) byAccount.delete(account);
      return byAccount.size === 0;
    },
  };
}
