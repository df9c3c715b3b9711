import type { RetryOptions } from '../configuration';

/**
 * Answers retry storms: when a service fails as a whole, each caller's request fails and every retry is one
 * more request to servers that already cannot cope. Without a budget, three tries a request keep a service
 * down that would have come back at its normal load; one notices requests at servers rising as answers fall.
 *
 * Retries are paid for by answers, not by requests. During a total outage nothing is answered, so a service
 * has only its reserve to spend, however long the outage lasts. A budget paid by requests would go on
 * adding its share for as long as the outage lasts. The reserve lets a quiet service retry at all.
 */
export interface RetryBudget {
  /** Notes that a request of `service` was answered. */
  answered(service: string): void;
  /** Takes one retry out of the budget; false when there is none. */
  tryTake(service: string): boolean;
}

/** Part of a retry that rounding may lose; ten answers at a share of 0.1 pay for one. */
const ROUNDING = 1e-9;

/** A budget with full reserves. `options` is asked each time, so that a new version applies at once. */
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
      if (balance < 1 - ROUNDING) return false;
      balances.set(service, balance - 1);
      return true;
    },
  };
}
