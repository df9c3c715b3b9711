import { fairShare } from './fair-share';
import type { SharedDemand } from './fair-share';
import type { DemandRate } from './types';

/** Demand and capacity of the same instances. Costs are rates per second. */
export interface Sample {
  readonly rates: ReadonlyMap<string, DemandRate>;
  /** Demand of the accounts that reports do not list. */
  readonly rest: SharedDemand;
  readonly capacityCost: number;
}

/** Standard errors above the fair share at which refusals of an account begin, and at which they have full effect. */
const MIN_ERRORS_ABOVE = 2;
const MAX_ERRORS_ABOVE = 3.5;
/** Bisection steps that find the share, for a precision of less than 1 in 10,000. */
const BISECTION_STEPS = 14;

/**
 * Returns the share of an account's demand that is admitted. Demand that exceeds the fair share by no more than what
 * random arrivals explain is admitted; otherwise accounts at their fair share would often be refused, and an account
 * that sends a single large prompt always.
 */
function admittedShareOf({ cost, variance }: DemandRate, share: number): number {
  if (cost <= share) return 1;
  const errorsAbove = (cost - share) / Math.sqrt(variance);
  const effect = (errorsAbove - MIN_ERRORS_ABOVE) / (MAX_ERRORS_ABOVE - MIN_ERRORS_ABOVE);
  return 1 - Math.min(1, Math.max(0, effect)) * (1 - share / cost);
}

/**
 * Returns the share at which the admitted demands add up to the capacity. It is below the max-min fair share, since some
 * accounts are admitted above theirs; without this correction, servers would have to refuse that excess.
 */
function correctedShare({ rates, rest, capacityCost }: Sample): number {
  const accounts = [...rates.values()];
  const demands = accounts.map(({ cost }) => ({ cost, count: 1 }));
  const fair = fairShare(rest.count > 0 ? [...demands, rest] : demands, capacityCost);
  if (fair === Infinity) return Infinity;
  let low = 0;
  let high = fair;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const share = (low + high) / 2;
    let admitted = Math.min(rest.cost, rest.count * share);
    for (const rate of accounts) admitted += rate.cost * admittedShareOf(rate, share);
    if (admitted > capacityCost) high = share;
    else low = share;
  }
  return high;
}

/** Returns the accounts over their share, with the share of the demand of each that is admitted. */
export function admittedShares(sample: Sample): ReadonlyMap<string, number> {
  const share = correctedShare(sample);
  const shares = new Map<string, number>();
  for (const [account, rate] of sample.rates) {
    const admittedShare = admittedShareOf(rate, share);
    if (admittedShare < 1) shares.set(account, admittedShare);
  }
  return shares;
}
