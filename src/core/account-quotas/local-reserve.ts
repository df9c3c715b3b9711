import type { AccountQuota } from '../client-accounts';
import { refilled, withdraw } from '../shared-budget';
import type { Bucket } from '../shared-budget';

/** Holds a small part of each quota, which an instance spends without asking the instance that counts the account. */
export interface LocalReserve {
  /** Spends a cost if the reserve covers it. Returns whether it did. */
  trySpend(account: string, cost: number, quota: AccountQuota, nowMs: number): boolean;
  /** Deletes the reserves of accounts that have sent no requests for a minute. */
  deleteIdle(nowMs: number): void;
}

/**
 * Minimum number of parts into which a quota is divided just after the start: this many instances may exist that this
 * one does not know yet.
 */
const MIN_PARTS_UNSETTLED = 128;
/** Minimum number of parts into which a quota is divided once the other instances are known. */
const MIN_PARTS = 32;
/** Number of parts per known instance: all instances together may spend at most half of a quota without asking. */
const PARTS_PER_INSTANCE = 2;
/** Time after its start within which an instance discovers the others, ms. */
const SETTLED_AFTER_MS = 3_000;
/** Time without requests after which the reserve of an account is deleted, ms. It is full again by then. */
const IDLE_TTL_MS = 60_000;

/**
 * Creates local reserves, each of which starts empty and fills at a part of the rate of its quota.
 *
 * Without them, each of many small requests would cost a message and its answer, and an instance that reaches no
 * instance that counts the account could serve none. What is spent here is reported and counted like everything else.
 */
export function createLocalReserve(instances: () => number, startedAtMs: number): LocalReserve {
  const reserves = new Map<string, Bucket>();
  return {
    trySpend(account, cost, quota, nowMs) {
      const isSettled = nowMs - startedAtMs >= SETTLED_AFTER_MS;
      const minParts = isSettled ? MIN_PARTS : MIN_PARTS_UNSETTLED;
      const parts = Math.max(minParts, PARTS_PER_INSTANCE * instances());
      const refill = { perSecond: quota.perSecond / parts, most: quota.burst / parts };
      const previous = reserves.get(account) ?? { left: 0, atMs: nowMs };
      const reserve = refilled(previous, refill, nowMs);
      const isSufficient = reserve.left >= cost;
      reserves.set(account, isSufficient ? withdraw(reserve, cost) : reserve);
      return isSufficient;
    },
    deleteIdle(nowMs) {
      for (const [account, { atMs }] of reserves) {
        if (nowMs - atMs > IDLE_TTL_MS) reserves.delete(account);
      }
    },
  };
}
