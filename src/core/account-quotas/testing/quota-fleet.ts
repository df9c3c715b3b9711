import type { AccountQuota } from '../../client-accounts';
import { createSteppedClock } from '../../../testing';
import { createSeededRandom } from '../../random';
import type { CounterPeer } from '../../shared-budget';
import { createAccountQuotas } from '../create-account-quotas';
import type { AccountQuotas } from '../create-account-quotas';

/** Simulates a fleet of instances that enforce quotas, on a stepped clock and with message delays. */

/** A request of a client. */
export interface QuotaArrival {
  readonly atMs: number;
  readonly account: string;
  readonly cost: number;
  /** Index of the instance that it is sent to. */
  readonly instance: number;
}

/** Outcome of an arrival. */
export interface QuotaOutcome extends QuotaArrival {
  readonly kind: 'granted' | 'spent' | 'unreachable';
  /** When the decision was made. */
  readonly decidedAtMs: number;
}

/** Options of a simulation. */
export interface QuotaFleetOptions {
  readonly instances: number;
  readonly seed?: number;
  /** Returns the quota of an account at a time. */
  readonly quotaOf: (account: string, atMs: number) => AccountQuota;
  /** Returns whether messages from one region to another are lost. */
  readonly isPartitioned?: (from: string, to: string, atMs: number) => boolean;
  /** Returns whether an instance is isolated from all others. */
  readonly isIsolated?: (instance: number, atMs: number) => boolean;
  /** Returns the times at which an instance is killed and restarted. */
  readonly restartsAtMs?: (instance: number) => readonly number[];
  /** Share of the messages that are lost. */
  readonly lostShare?: number;
  /** Share of the messages that arrive twice. */
  readonly repeatedShare?: number;
  readonly arrivals: readonly QuotaArrival[];
  /** Called for each message from one instance to another. */
  readonly onMessage?: (from: number, to: number, text: string) => void;
  readonly durationMs: number;
}

/** Regions of the fleet; instances are assigned to them in turn. */
export const QUOTA_REGIONS = ['north', 'east', 'south'];

const STEP_MS = 5;
/** Interval between two calls by which an instance sends its reports, ms. */
const TICK_MS = 50;
/** One-way message delay within a region and between two regions, ms. */
const SAME_REGION_DELAY_MS = 1;
const CROSS_REGION_DELAY_MS = 60;
/** Time until a started instance and the others have discovered one another, ms. */
const DISCOVERY_DELAY_MS = 500;
/** Time for which an unreachable instance is still considered alive, ms. */
const FAILURE_DETECTION_MS = 2_000;

interface SimulatedInstance {
  readonly peer: CounterPeer;
  quotas: AccountQuotas;
  startedAtMs: number;
  life: number;
}

/** Returns the region of an instance. */
export function regionOf(instance: number): string {
  return QUOTA_REGIONS[instance % QUOTA_REGIONS.length] ?? '';
}

/** Simulates arrivals at a fleet. The same seed gives the same outcomes. */
export function simulateQuotas(options: QuotaFleetOptions): readonly QuotaOutcome[] {
  const { clock, advanceTo } = createSteppedClock(STEP_MS);
  const random = createSeededRandom(options.seed ?? 1);
  const nowMs = () => clock.monotonicMs();
  const outcomes: QuotaOutcome[] = [];
  const instances: SimulatedInstance[] = [];
  const regions = QUOTA_REGIONS.slice(0, options.instances);

  const isInstanceIsolated = (instance: number, atMs: number): boolean =>
    options.isIsolated?.(instance, atMs) === true;
  const hasPartitions = options.isIsolated !== undefined || options.isPartitioned !== undefined;

  const isLost = (from: number, to: number): boolean => {
    const [fromRegion, toRegion] = [regionOf(from), regionOf(to)];
    if (
      fromRegion !== toRegion &&
      options.isPartitioned?.(fromRegion, toRegion, nowMs()) === true
    ) {
      return true;
    }
    const isEitherIsolated = isInstanceIsolated(from, nowMs()) || isInstanceIsolated(to, nowMs());
    return isEitherIsolated || random.next() < (options.lostShare ?? 0);
  };

  const deliver = (from: number, to: number, text: string): void => {
    options.onMessage?.(from, to, text);
    const times = random.next() < (options.repeatedShare ?? 0) ? 2 : 1;
    const delayMs = regionOf(from) === regionOf(to) ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS;
    const target = instances[to];
    if (target === undefined || isLost(from, to)) return;
    const { life } = target;
    for (let time = 0; time < times; time += 1) {
      clock.schedule(nowMs() + delayMs, () => {
        if (target.life === life) target.quotas.receive(text);
      });
    }
  };

  const wasReachable = (from: number, to: number, atMs: number): boolean => {
    if (!hasPartitions) return true;
    const [fromRegion, toRegion] = [regionOf(from), regionOf(to)];
    const isPartitioned =
      fromRegion !== toRegion && options.isPartitioned?.(fromRegion, toRegion, atMs) === true;
    return !isInstanceIsolated(from, atMs) && !isInstanceIsolated(to, atMs) && !isPartitioned;
  };

  const peersKnownTo = (from: number): readonly CounterPeer[] =>
    instances.flatMap(({ peer, startedAtMs }, to) => {
      const knowsSinceMs = Math.max(startedAtMs, instances[from]?.startedAtMs ?? 0);
      const isKnown = nowMs() - knowsSinceMs >= DISCOVERY_DELAY_MS;
      const isConsideredAlive =
        wasReachable(from, to, nowMs()) || wasReachable(from, to, nowMs() - FAILURE_DETECTION_MS);
      return to !== from && isKnown && isConsideredAlive ? [peer] : [];
    });

  const start = (instance: number): AccountQuotas =>
    createAccountQuotas({
      clock,
      self: () => ({
        instanceId: `i-${instance}`,
        region: regionOf(instance),
        address: String(instance),
      }),
      peers: () => peersKnownTo(instance),
      regions: () => regions,
      quotaOf: (account) => options.quotaOf(account, nowMs()),
      send: (address, text) => deliver(instance, Number(address), text),
    });

  for (let index = 0; index < options.instances; index += 1) {
    const peer = { instanceId: `i-${index}`, region: regionOf(index), address: String(index) };
    instances.push({ peer, quotas: start(index), startedAtMs: 0, life: 0 });
  }
  const restarts = instances
    .flatMap((_unused, instance) =>
      (options.restartsAtMs?.(instance) ?? []).map((atMs) => ({ atMs, instance })),
    )
    .sort((left, right) => left.atMs - right.atMs);

  const submit = (arrival: QuotaArrival): void => {
    const { account, cost } = arrival;
    const quota = options.quotaOf(account, nowMs());
    instances[arrival.instance]?.quotas.authorize({ account, cost, quota }, ({ kind }) =>
      outcomes.push({ ...arrival, kind, decidedAtMs: nowMs() }),
    );
  };

  const arrivals = [...options.arrivals].sort((left, right) => left.atMs - right.atMs);
  let next = 0;
  let nextRestart = 0;
  while (nowMs() < options.durationMs) {
    advanceTo(nowMs() + STEP_MS);
    for (; (restarts[nextRestart]?.atMs ?? Infinity) <= nowMs(); nextRestart += 1) {
      const index = restarts[nextRestart]?.instance ?? 0;
      const restarted = instances[index];
      if (restarted === undefined) continue;
      restarted.quotas = start(index);
      restarted.startedAtMs = nowMs();
      restarted.life += 1;
    }
    for (; (arrivals[next]?.atMs ?? Infinity) <= nowMs(); next += 1) {
      const arrival = arrivals[next];
      if (arrival !== undefined) submit(arrival);
    }
    if (nowMs() % TICK_MS === 0) for (const { quotas } of instances) quotas.sendDueReports();
  }
  return outcomes;
}

/** Returns the maximum cost granted to an account within any window of `windowMs`. */
export function maxGranted(
  outcomes: readonly QuotaOutcome[],
  account: string,
  windowMs: number,
): number {
  const granted = outcomes
    .filter((outcome) => outcome.account === account && outcome.kind === 'granted')
    .sort((left, right) => left.decidedAtMs - right.decidedAtMs);
  let maxSum = 0;
  let sum = 0;
  let windowStart = 0;
  for (const { decidedAtMs, cost } of granted) {
    sum += cost;
    while ((granted[windowStart]?.decidedAtMs ?? decidedAtMs) < decidedAtMs - windowMs) {
      sum -= granted[windowStart]?.cost ?? 0;
      windowStart += 1;
    }
    maxSum = Math.max(maxSum, sum);
  }
  return maxSum;
}

/** Request load of an account and its distribution over instances. */
export interface AccountDemand {
  readonly account: string;
  /** Cost requested per second. */
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Returns the instance that receives a request at a time; `draw` is in [0, 1). */
  readonly instanceAt: (atMs: number, draw: number) => number;
}

/** Costs of requests, in tokens, and their shares of all requests. */
const REQUEST_KINDS = [
  { cost: 9_250, share: 0.19 },
  { cost: 1_120, share: 0.58 },
  { cost: 200, share: 0.22 },
  { cost: 40_000, share: 0.01 },
];
const MEAN_COST = REQUEST_KINDS.reduce((sum, { cost, share }) => sum + cost * share, 0);
const MS_PER_S = 1_000;

/** Draws arrivals as a Poisson process over the time span of the demand. Their costs match its rate on average. */
export function drawArrivals(demand: AccountDemand, seed: number): readonly QuotaArrival[] {
  const random = createSeededRandom(seed);
  const perMs = demand.perSecond / MEAN_COST / MS_PER_S;
  const arrivals: QuotaArrival[] = [];
  let atMs = demand.fromMs;
  for (;;) {
    atMs += -Math.log(1 - random.next()) / perMs;
    if (atMs >= demand.toMs) return arrivals;
    let draw = random.next();
    const kind = REQUEST_KINDS.find(({ share }) => {
      draw -= share;
      return draw < 0;
    });
    const instance = demand.instanceAt(atMs, random.next());
    arrivals.push({ atMs, account: demand.account, cost: kind?.cost ?? MEAN_COST, instance });
  }
}
