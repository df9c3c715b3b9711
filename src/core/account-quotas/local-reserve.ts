import type { AccountQuota } from '../client-accounts';
import { refilled, without } from './bucket';
import type { Bucket } from './bucket';

/** A small part of each quota that an instance spends without asking. */
export interface LocalReserve {
  /** Takes a cost where the reserve holds it; says whether it did. */
  take(account: string, cost: number, quota: AccountQuota, nowMs: number): boolean;
  /** Forgets accounts that have not been seen for long. */
  dropQuiet(nowMs: number): void;
}

/** Least number of parts while an instance has just started: as many instances may be there without its knowing. */
const FEWEST_PARTS_UNSETTLED = 128;
/** The same later on. */
const FEWEST_PARTS = 32;
/** Parts for each instance that is known: half of a quota is all that instances may spend unseen. */
const PARTS_PER_INSTANCE = 2;
/** Time after its start in which an instance gets to know the others, ms. */
const SETTLED_AFTER_MS = 3_000;
/** Time after which an account that sends nothing is forgotten, ms; its reserve is full by then. */
const FORGET_AFTER_MS = 60_000;

/**
 * Reserves that are empty.
 *
 * Answers many small requests: each asked for by itself would cost a message and its answer, and none could be served
 * by an instance that reaches nobody who counts. What is taken here is told, and paid for like everything else.
 */
export function createLocalReserve(instances: () => number, startedAtMs: number): LocalReserve {
  const reserves = new Map<string, Bucket>();
  return {
    take(account, cost, quota, nowMs) {
      const isSettled = nowMs - startedAtMs >= SETTLED_AFTER_MS;
      const fewestParts = isSettled ? FEWEST_PARTS : FEWEST_PARTS_UNSETTLED;
      const parts = Math.max(fewestParts, PARTS_PER_INSTANCE * instances());
      const refill = { perSecond: quota.perSecond / parts, most: quota.burst / parts };
      const before = reserves.get(account) ?? { left: 0, atMs: nowMs };
      const reserve = refilled(before, refill, nowMs);
      const isHeld = reserve.left >= cost;
      reserves.set(account, isHeld ? without(reserve, cost) : reserve);
      return isHeld;
    },
    dropQuiet(nowMs) {
      for (const [account, { atMs }] of reserves) {
        if (nowMs - atMs > FORGET_AFTER_MS) reserves.delete(account);
      }
    },
  };
}
