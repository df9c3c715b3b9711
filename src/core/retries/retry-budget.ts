import type { RetryOptions } from '../configuration';

/**
 * Limits retries per service to prevent retry storms. When a whole service fails, every request fails and each
 * retry adds load to servers that are already overloaded. Without a budget, three attempts per request keep a
 * service down that would recover at its normal load; the symptom is that requests at the servers rise while
 * answers fall.
 *
 * The budget is replenished by answers, not by requests. During a total outage nothing is answered, so a
 * service can spend only its reserve, however long the outage lasts. A budget replenished by requests would
 * keep growing throughout the outage. The reserve allows a service with little traffic to retry at all.
 */
export interface RetryBudget {
  /** Adds the share that one answered request of `service` contributes to the budget. */
  answered(service: string): void;
  /** Takes one retry from the budget; returns false if none remains. */
  tryTake(service: string): boolean;
}

/** Tolerance for rounding errors in a balance: ten answers at a share of 0.1 pay for one retry. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Creates a budget with full reserves. `options` is read on each call, so that a new configuration applies at
 * once.
 */
export function createRetryBudget(options: () => RetryOptions): RetryBudget {
  const balances = new Map<string, number>();
  const balanceOf = (service: string) => balances.get(service) ?? options().reserveTries;

  return {
    answered(service) {
      const { share, reserveTries } = options();
      balances.set(service, Math.min(reserveTries, balanceOf(service) + share));
    },
    tryTake(service) {
      const balance = balanceOf(service);
      if (balance < 1 - ROUNDING_TOLERANCE) return false;
      balances.set(service, balance - 1);
      return true;
    },
  };
}
