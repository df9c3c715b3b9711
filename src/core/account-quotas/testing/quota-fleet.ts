import type { Clock } from '../../clock';
import type { AccountQuota } from '../../client-accounts';
import { createSeededRandom } from '../../random';
import { createAccountQuotas } from '../create-account-quotas';
import type { AccountQuotas } from '../create-account-quotas';
import type { QuotaPeer } from '../types';

/** A fleet of instances that hold quotas, on a clock that is moved, with messages that take their time. */

/** One request of a client. */
export interface QuotaArrival {
  readonly atMs: number;
  readonly account: string;
  readonly cost: number;
  /** Number of the instance that it is sent to. */
  readonly instance: number;
}

/** What became of it. */
export interface QuotaOutcome extends QuotaArrival {
  readonly kind: 'granted' | 'spent' | 'unreachable';
  /** When that was decided. */
  readonly decidedAtMs: number;
}

/** What is played. */
export interface QuotaFleetOptions {
  readonly instances: number;
  readonly seed?: number;
  /** Quota of each account at a time. */
  readonly quotaOf: (account: string, atMs: number) => AccountQuota;
  /** Whether messages from one region to another are lost. */
  readonly isCut?: (from: string, to: string, atMs: number) => boolean;
  /** Whether an instance is cut off from all others. */
  readonly isAlone?: (instance: number, atMs: number) => boolean;
  /** Times at which an instance is killed and started anew. */
  readonly restartsAtMs?: (instance: number) => readonly number[];
  /** Part of the messages that is lost, and that arrives twice. */
  readonly lostShare?: number;
  readonly repeatedShare?: number;
  readonly arrivals: readonly QuotaArrival[];
  /** Told of each message from one instance to another. */
  readonly onSent?: (from: number, to: number, text: string) => void;
  readonly durationMs: number;
}

/** Regions of all fleets. */
export const QUOTA_REGIONS = ['north', 'east', 'south'];

const EPOCH_UNIX_MS = 1_767_225_600_000;
const STEP_MS = 5;
const TICK_MS = 50;
/** One way within a region, and between two of them, ms. */
const NEAR_MS = 1;
const FAR_MS = 60;
/** Time until a started instance and the others know one another, ms. */
const KNOWN_AFTER_MS = 500;
/** Time for which an instance that does not answer is still believed to be there, ms. */
const BELIEVED_FOR_MS = 2_000;

/** A clock that moves in steps; what is scheduled runs at the first step that is not before it. */
function createSteppedClock() {
  let atMs = 0;
  const due = new Map<number, { run: (() => void) | undefined }[]>();
  const clock: Clock = {
    monotonicMs: () => atMs,
    unixMs: () => EPOCH_UNIX_MS + atMs,
    schedule(dueAtMs, callback) {
      const step = Math.max(atMs + STEP_MS, Math.ceil(dueAtMs / STEP_MS) * STEP_MS);
      const task: { run: (() => void) | undefined } = { run: callback };
      const tasks = due.get(step) ?? [];
      tasks.push(task);
      due.set(step, tasks);
      return {
        [Symbol.dispose]() {
          task.run = undefined;
        },
      };
    },
  };
  const advanceTo = (nextMs: number): void => {
    atMs = nextMs;
    const tasks = due.get(nextMs) ?? [];
    due.delete(nextMs);
    for (const { run } of tasks) run?.();
  };
  return { clock, advanceTo };
}

interface PlayedInstance {
  readonly peer: QuotaPeer;
  quotas: AccountQuotas;
  startedAtMs: number;
  life: number;
}

/** The region of an instance. */
export function regionOf(instance: number): string {
  return QUOTA_REGIONS[instance % QUOTA_REGIONS.length] ?? '';
}

/** Plays arrivals to a fleet; the same seed gives the same outcomes. */
export function playQuotas(options: QuotaFleetOptions): readonly QuotaOutcome[] {
  const { clock, advanceTo } = createSteppedClock();
  const random = createSeededRandom(options.seed ?? 1);
  const nowMs = () => clock.monotonicMs();
  const outcomes: QuotaOutcome[] = [];
  const instances: PlayedInstance[] = [];
  const regions = QUOTA_REGIONS.slice(0, options.instances);

  const isOff = (instance: number, atMs: number): boolean =>
    options.isAlone?.(instance, atMs) === true;
  const isAnyoneCut = options.isAlone !== undefined || options.isCut !== undefined;

  const isLost = (from: number, to: number): boolean => {
    const [fromRegion, toRegion] = [regionOf(from), regionOf(to)];
    if (fromRegion !== toRegion && options.isCut?.(fromRegion, toRegion, nowMs()) === true) {
      return true;
    }
    const isAlone = isOff(from, nowMs()) || isOff(to, nowMs());
    return isAlone || random.next() < (options.lostShare ?? 0);
  };

  const deliver = (from: number, to: number, text: string): void => {
    options.onSent?.(from, to, text);
    const times = random.next() < (options.repeatedShare ?? 0) ? 2 : 1;
    const delayMs = regionOf(from) === regionOf(to) ? NEAR_MS : FAR_MS;
    const target = instances[to];
    if (target === undefined || isLost(from, to)) return;
    const { life } = target;
    for (let time = 0; time < times; time += 1) {
      clock.schedule(nowMs() + delayMs, () => {
        if (target.life === life) target.quotas.take(text);
      });
    }
  };

  const wasReachable = (from: number, to: number, atMs: number): boolean => {
    if (!isAnyoneCut) return true;
    const [fromRegion, toRegion] = [regionOf(from), regionOf(to)];
    const isCut = fromRegion !== toRegion && options.isCut?.(fromRegion, toRegion, atMs) === true;
    return !isOff(from, atMs) && !isOff(to, atMs) && !isCut;
  };

  const knownTo = (from: number): readonly QuotaPeer[] =>
    instances.flatMap(({ peer, startedAtMs }, to) => {
      const knowsSinceMs = Math.max(startedAtMs, instances[from]?.startedAtMs ?? 0);
      const isKnown = nowMs() - knowsSinceMs >= KNOWN_AFTER_MS;
      const isBelieved =
        wasReachable(from, to, nowMs()) || wasReachable(from, to, nowMs() - BELIEVED_FOR_MS);
      return to !== from && isKnown && isBelieved ? [peer] : [];
    });

  const start = (instance: number): AccountQuotas =>
    createAccountQuotas({
      clock,
      self: () => ({
        instanceId: `i-${instance}`,
        region: regionOf(instance),
        address: String(instance),
      }),
      peers: () => knownTo(instance),
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

  const ask = (arrival: QuotaArrival): void => {
    const { account, cost } = arrival;
    const quota = options.quotaOf(account, nowMs());
    instances[arrival.instance]?.quotas.require({ account, cost, quota }, ({ kind }) =>
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
      const played = instances[index];
      if (played === undefined) continue;
      played.quotas = start(index);
      played.startedAtMs = nowMs();
      played.life += 1;
    }
    for (; (arrivals[next]?.atMs ?? Infinity) <= nowMs(); next += 1) {
      const arrival = arrivals[next];
      if (arrival !== undefined) ask(arrival);
    }
    if (nowMs() % TICK_MS === 0) for (const { quotas } of instances) quotas.tell();
  }
  return outcomes;
}

/** The most that was granted to an account in any span of `windowMs`. */
export function mostGranted(
  outcomes: readonly QuotaOutcome[],
  account: string,
  windowMs: number,
): number {
  const granted = outcomes
    .filter((outcome) => outcome.account === account && outcome.kind === 'granted')
    .sort((left, right) => left.decidedAtMs - right.decidedAtMs);
  let most = 0;
  let sum = 0;
  let first = 0;
  for (const { decidedAtMs, cost } of granted) {
    sum += cost;
    while ((granted[first]?.decidedAtMs ?? decidedAtMs) < decidedAtMs - windowMs) {
      sum -= granted[first]?.cost ?? 0;
      first += 1;
    }
    most = Math.max(most, sum);
  }
  return most;
}

/** What an account asks, and where. */
export interface AccountDemand {
  readonly account: string;
  /** Cost that is asked each second. */
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** The instance of a request at a time; `draw` is from 0 up to 1. */
  readonly at: (atMs: number, draw: number) => number;
}

const KINDS = [
  { cost: 9_250, share: 0.19 },
  { cost: 1_120, share: 0.58 },
  { cost: 200, share: 0.22 },
  { cost: 40_000, share: 0.01 },
];
const MEAN_COST = KINDS.reduce((sum, { cost, share }) => sum + cost * share, 0);
const MS_PER_S = 1_000;

/** Arrivals of all sizes that add up to the demand, drawn evenly in time. */
export function drawArrivals(demand: AccountDemand, seed: number): readonly QuotaArrival[] {
  const random = createSeededRandom(seed);
  const perMs = demand.perSecond / MEAN_COST / MS_PER_S;
  const arrivals: QuotaArrival[] = [];
  let atMs = demand.fromMs;
  for (;;) {
    atMs += -Math.log(1 - random.next()) / perMs;
    if (atMs >= demand.toMs) return arrivals;
    let draw = random.next();
    const kind = KINDS.find(({ share }) => {
      draw -= share;
      return draw < 0;
    });
    const instance = demand.at(atMs, random.next());
    arrivals.push({ atMs, account: demand.account, cost: kind?.cost ?? MEAN_COST, instance });
  }
}
