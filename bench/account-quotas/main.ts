/**
 * What the counting of quotas costs: messages and bytes that an instance sends each second, and how long requests wait for an
 * answer, by the size of the fleet. Real modules on a clock that is moved; nothing is timed, so each run prints the same.
 */
import {
  drawArrivals,
  simulateQuotas,
  regionOf,
} from '../../src/core/account-quotas/testing/quota-fleet';
import type { AccountQuota } from '../../src/core/client-accounts';

const ACCOUNTS = 16;
/** All accounts together, tokens a second for each instance, as on deployments of some eighty instances. */
const TOKENS_PER_INSTANCE = 14_000;
/** A quota in parts of what the account usually asks. */
const QUOTA_OF_USUAL = 1.8;
const FLOOR_PER_SECOND = 29_000;
const PLAIN_COST = 200;
const FROM_MS = 5_000;
const TO_MS = 15_000;
const MS_PER_S = 1_000;
const SECONDS = (TO_MS - FROM_MS) / MS_PER_S;

/** Shares of the accounts: a few are large. */
const SHARES = Array.from({ length: ACCOUNTS }, (_unused, index) => 1 / (index + 1));
const ALL_SHARES = SHARES.reduce((sum, share) => sum + share, 0);

function usualOf(account: string, instances: number): number {
  const share = (SHARES[Number(account)] ?? 0) / ALL_SHARES;
  return share * instances * TOKENS_PER_INSTANCE;
}

function row(instances: number) {
  const quotaOf = (account: string): AccountQuota => {
    const perSecond = Math.max(FLOOR_PER_SECOND, QUOTA_OF_USUAL * usualOf(account, instances));
    return { unit: 'tokens', plainCost: PLAIN_COST, perSecond, burst: perSecond };
  };
  const arrivals = SHARES.flatMap((_share, index) =>
    drawArrivals(
      {
        account: String(index),
        perSecond: usualOf(String(index), instances),
        fromMs: FROM_MS,
        toMs: TO_MS,
        instanceAt: (_atMs, draw) => Math.floor(draw * instances),
      },
      index + 1,
    ),
  );
  let messages = 0;
  let bytes = 0;
  let betweenRegions = 0;
  const outcomes = simulateQuotas({
    instances,
    quotaOf,
    arrivals,
    durationMs: TO_MS,
    onMessage(from, to, text) {
      messages += 1;
      bytes += text.length;
      if (regionOf(from) !== regionOf(to)) betweenRegions += 1;
    },
  });
  const waited = outcomes.filter(({ atMs, decidedAtMs }) => decidedAtMs - atMs > 5);
  const refused = outcomes.filter(({ kind }) => kind !== 'granted');
  const each = (count: number) => Number((count / instances / SECONDS).toFixed(2));
  return {
    instances,
    'requests/s each': each(outcomes.length),
    'messages/s each': each(messages),
    'bytes/s each': Math.round(each(bytes)),
    'between regions/s each': each(betweenRegions),
    'waited for an answer': Number((waited.length / outcomes.length).toFixed(3)),
    refused: refused.length,
  };
}

console.table([8, 30, 80, 300].map(row));
