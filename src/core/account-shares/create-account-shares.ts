import type { Logger } from '../events';
import { updateIntervalMs } from '../load-sharing';
import { admittedShares } from './admitted-shares';
import type { Sample } from './admitted-shares';
import { ACCOUNT_SHARE_EVENTS } from './events';
import { createOwnDemand } from './create-own-demand';
import type { OwnDemand } from './create-own-demand';
import { createReceivedReports } from './create-received-reports';
import type { ReceivedReport } from './create-received-reports';
import { MAX_REPORTED_ACCOUNTS, parseDemandReport, serializeDemandReport } from './demand-message';
import type { SharedDemand } from './fair-share';
import type { AccountShares, DemandRate, ShareVerdict } from './types';

/** Options of {@link createAccountShares}. */
export interface AccountSharesOptions {
  readonly selfId: string;
  readonly logger: Logger;
  /** Start of this instance; a later start has a greater number. */
  readonly incarnation: number;
  readonly isEnabled: () => boolean;
  /** Addresses of the other instances of the region. */
  readonly addresses: () => readonly string[];
  readonly send: (address: string, text: string) => void;
  /** Draws numbers from 0 up to, but not including, 1. */
  readonly draw: () => number;
}

/**
 * Time for which a service stays scarce after the servers last had no room for a request, ms. While shares apply, such
 * refusals may be more than a second apart. If shares ended in each of these gaps, queues would fill again, and accounts
 * within their share would be refused.
 */
const SCARCE_MS = 4_000;
/** Interval between two computations of the shares of a service, ms. */
const COMPUTE_INTERVAL_MS = 100;
/** Maximum number of accounts for that interval; it grows with more: a computation with 18,000 accounts takes 10 ms. */
const ACCOUNTS_PER_INTERVAL = 4_000;
/** Interval at which idle accounts and expired reports are dropped, ms. */
const DROP_INTERVAL_MS = 1_000;
/** Time after the servers last had no room during which the admitted cost is taken as their capacity, ms. */
const FULL_MS = 1_000;
/** Time constant of the moving average of the admitted cost that estimates the capacity, ms. */
const CAPACITY_TIME_CONSTANT_MS = 2_000;
/** Maximum time step of one computation, ms; without it, the capacity would jump after a pause. */
const MAX_ELAPSED_MS = 500;
/** Coefficients of the share of the capacity that is admitted, by the time since servers last had no room. */
const FACTOR_WHILE_FULL = 0.97;
const GROWTH_PER_S = 0.02;
const GROWTH_PER_S_SQUARED = 0.02;
/** Minimum number of requests in a sample of the short span; with fewer, the long span of this instance is used. */
const MIN_SAMPLE_REQUESTS = 40;
const MS_PER_S = 1_000;

/**
 * Maximum share of the wait for the objective that is reserved for accounts within their share. It leaves room for their
 * random bursts, although accounts over their share keep the queues from becoming empty.
 */
const RESERVED_WAIT_SHARE = 0.35;
/** Mean excess of an account from which it must leave all of the reserved share to the others. */
const FULL_EFFECT_EXCESS = 0.3;
/** Time constant of the mean excess, ms: an account that is over its share for a moment by chance has little effect. */
const EXCESS_TIME_CONSTANT_MS = 1_500;
/** Mean excess below which an account counts as within its share. */
const MIN_EXCESS = 0.01;
const ALL_ADMITTED: ShareVerdict = { isAdmitted: true, admittedShare: 1, maxWaitShare: 1 };

interface ServiceState {
  readonly own: OwnDemand;
  isScarce: boolean;
  computedAtMs: number;
  /** Cost per second that this instance has admitted while servers were full. */
  capacityCost: number;
  /** Accounts over their share, with the share of their demand that is admitted. */
  admittedShares: ReadonlyMap<string, number>;
  /** Mean share of the demand of accounts that was not admitted lately; accounts within their share are absent. */
  readonly meanExcess: Map<string, number>;
}

const NO_REST: SharedDemand = { cost: 0, count: 0 };

function updateMeanExcess(
  { isScarce, admittedShares: shares, meanExcess }: ServiceState,
  elapsedMs: number,
): void {
  if (!isScarce) {
    meanExcess.clear();
    return;
  }
  const remaining = Math.exp(-elapsedMs / EXCESS_TIME_CONSTANT_MS);
  for (const account of new Set([...shares.keys(), ...meanExcess.keys()])) {
    const excess = 1 - (shares.get(account) ?? 1);
    const mean = (meanExcess.get(account) ?? 0) * remaining + excess * (1 - remaining);
    if (excess > 0 || mean >= MIN_EXCESS) meanExcess.set(account, mean);
    else meanExcess.delete(account);
  }
}

/** Adds the demand that other instances report to that of this one. */
function addReported(
  own: ReadonlyMap<string, DemandRate>,
  reports: readonly ReceivedReport[],
): ReadonlyMap<string, DemandRate> {
  if (reports.length === 0) return own;
  const sums = new Map(own);
  for (const { report } of reports) {
    for (const { account, cost, variance } of report.accounts) {
      const sum = sums.get(account) ?? { cost: 0, variance: 0 };
      sums.set(account, { cost: sum.cost + cost, variance: sum.variance + variance });
    }
  }
  return sums;
}

/**
 * Returns the cost to admit, as a multiple of the estimated capacity. Right after servers had no room, it is below 1, so
 * that their queues become shorter. It then grows faster and faster, since only another refusal shows that there is no
 * more capacity.
 */
function capacityFactor(sinceFullMs: number): number {
  const sinceFullS = sinceFullMs / MS_PER_S;
  return FACTOR_WHILE_FULL + GROWTH_PER_S * sinceFullS + GROWTH_PER_S_SQUARED * sinceFullS ** 2;
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Creates the shares of accounts at one instance.
 *
 * Without them, an account that sends several times its usual load while servers are full takes capacity from all
 * others in proportion to its demand. Each instance adds its own demand and the reports of the others, and computes the
 * max-min fair share of what can be admitted. Demand and capacity come from the same instances, so that any sample of
 * the region gives the same share of an account's demand, even that of this instance alone.
 *
 * Refusals by shares are no evidence that servers are full: a service is scarce only while servers have no room for
 * requests that the shares admit.
 */
export function createAccountShares(options: AccountSharesOptions): AccountShares {
  const services = new Map<string, ServiceState>();
  const received = createReceivedReports();
  let nextSendAtMs = 0;
  let nextDropAtMs = 0;
  let sequence = 0;

  const stateOf = (service: string): ServiceState => {
    const existing = services.get(service);
    if (existing !== undefined) return existing;
    const created: ServiceState = {
      own: createOwnDemand(),
      isScarce: false,
      computedAtMs: -Infinity,
      capacityCost: 0,
      admittedShares: new Map(),
      meanExcess: new Map(),
    };
    services.set(service, created);
    return created;
  };

  /** Returns the cost that this instance can admit; it follows what is admitted while the servers are full. */
  const nextCapacityCost = (
    { own, isScarce, capacityCost }: ServiceState,
    sinceFullMs: number,
    elapsedMs: number,
    nowMs: number,
  ): number => {
    const admitted = own.admittedCost('short', nowMs);
    if (!isScarce) return admitted;
    if (sinceFullMs > FULL_MS) return capacityCost;
    const weight = 1 - Math.exp(-elapsedMs / CAPACITY_TIME_CONSTANT_MS);
    return capacityCost + (admitted - capacityCost) * weight;
  };

  /** Returns the demands and the capacity of a sample of the region. */
  const sampleOf = (
    { own, capacityCost }: ServiceState,
    reports: readonly ReceivedReport[],
    sinceFullMs: number,
    nowMs: number,
  ): Sample => {
    const factor = capacityFactor(sinceFullMs);
    const rates = addReported(own.accounts('short', nowMs), reports);
    const cost = total([...rates.values()].map((rate) => rate.cost));
    const variance = total([...rates.values()].map((rate) => rate.variance));
    if (cost ** 2 < MIN_SAMPLE_REQUESTS * variance) {
      const longCapacity = factor * own.admittedCost('long', nowMs);
      return { rates: own.accounts('long', nowMs), rest: NO_REST, capacityCost: longCapacity };
    }
    const rest = {
      cost: total(reports.map(({ report }) => report.rest.cost)),
      // Not added up: the instances mostly get requests of the same accounts.
      count: Math.max(0, ...reports.map(({ report }) => report.rest.count)),
    };
    const capacity = capacityCost + total(reports.map(({ report }) => report.capacityCost));
    return { rates, rest, capacityCost: factor * capacity };
  };

  /** Computes scarcity and shares again if the interval has passed. */
  const refresh = (service: string, nowMs: number): void => {
    const state = stateOf(service);
    const intervals = Math.max(1, state.own.accountCount() / ACCOUNTS_PER_INTERVAL);
    if (nowMs - state.computedAtMs < COMPUTE_INTERVAL_MS * intervals) return;
    const reports = received.of(service, nowMs);
    const sinceFullMs = Math.min(
      state.own.sinceFullMs(nowMs),
      ...reports.map(({ report, atMs }) => report.sinceFullMs + nowMs - atMs),
    );
    const isScarce = options.isEnabled() && sinceFullMs <= SCARCE_MS;
    const elapsedMs = Math.min(MAX_ELAPSED_MS, nowMs - state.computedAtMs);
    state.capacityCost = nextCapacityCost(state, sinceFullMs, elapsedMs, nowMs);
    if (isScarce !== state.isScarce) {
      const event = isScarce ? ACCOUNT_SHARE_EVENTS.scarce : ACCOUNT_SHARE_EVENTS.notScarce;
      options.logger.event(event, { service });
    }
    state.isScarce = isScarce;
    state.computedAtMs = nowMs;
    state.admittedShares = isScarce
      ? admittedShares(sampleOf(state, reports, sinceFullMs, nowMs))
      : new Map();
    updateMeanExcess(state, elapsedMs);
  };

  const refreshAll = (nowMs: number): readonly ServiceState[] => {
    for (const service of services.keys()) refresh(service, nowMs);
    return [...services.values()];
  };

  const dropUnused = (nowMs: number): void => {
    if (nowMs < nextDropAtMs) return;
    nextDropAtMs = nowMs + DROP_INTERVAL_MS;
    received.removeExpired(nowMs);
    for (const [service, { own, isScarce }] of services) {
      // Reports of other instances may show that the service is still scarce.
      if (own.dropIdle(nowMs) && !isScarce) services.delete(service);
    }
  };

  const reportOn = (service: string, { own, capacityCost }: ServiceState, nowMs: number) => {
    const sorted = [...own.accounts('short', nowMs)].sort(
      ([, left], [, right]) => right.cost - left.cost,
    );
    const others = sorted.slice(MAX_REPORTED_ACCOUNTS);
    sequence += 1;
    return serializeDemandReport({
      from: options.selfId,
      incarnation: options.incarnation,
      sequence,
      service,
      accounts: sorted
        .slice(0, MAX_REPORTED_ACCOUNTS)
        .map(([account, rate]) => ({ account, ...rate })),
      rest: { count: others.length, cost: total(others.map(([, { cost }]) => cost)) },
      admittedCost: own.admittedCost('short', nowMs),
      refusedCost: own.refusedCost('short', nowMs),
      capacityCost,
      sinceFullMs: own.sinceFullMs(nowMs),
    });
  };

  return {
    record({ service, account, cost, outcome }, nowMs) {
      if (!options.isEnabled()) return;
      stateOf(service).own.record(account, cost, outcome, nowMs);
    },
    recordLateRefusal({ service, cost }, nowMs) {
      if (options.isEnabled()) stateOf(service).own.recordLateRefusal(cost, nowMs);
    },
    admits({ service, account }, nowMs) {
      const state = services.get(service);
      if (state === undefined || !options.isEnabled()) return ALL_ADMITTED;
      refresh(service, nowMs);
      const excess = state.meanExcess.get(account);
      if (!state.isScarce || excess === undefined) return ALL_ADMITTED;
      const admittedShare = state.admittedShares.get(account) ?? 1;
      return {
        isAdmitted: admittedShare >= 1 || options.draw() < admittedShare,
        admittedShare,
        maxWaitShare: 1 - RESERVED_WAIT_SHARE * Math.min(1, excess / FULL_EFFECT_EXCESS),
      };
    },
    receive(text, nowMs) {
      const report = parseDemandReport(text);
      if (report === undefined) return false;
      if (report.from !== options.selfId) received.receive(report, nowMs);
      return true;
    },
    sendIfDue(nowMs) {
      dropUnused(nowMs);
      // Refreshed at each tick, since an instance may get few requests of a service.
      refreshAll(nowMs);
      if (nowMs < nextSendAtMs) return;
      const scarce = [...services].filter(([, { isScarce }]) => isScarce);
      if (scarce.length === 0) return;
      const addresses = options.addresses();
      nextSendAtMs = nowMs + updateIntervalMs(addresses.length);
      if (addresses.length === 0) return;
      for (const [service, state] of scarce) {
        const text = reportOn(service, state, nowMs);
        for (const address of addresses) options.send(address, text);
      }
    },
    scarceCount: (nowMs) => refreshAll(nowMs).filter(({ isScarce }) => isScarce).length,
    overShareCount: (nowMs) => total(refreshAll(nowMs).map((state) => state.admittedShares.size)),
  };
}
