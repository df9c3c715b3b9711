import { createMemoryLogger, createSteppedClock } from '../../../testing';
import type { Clock } from '../../clock';
import { createSeededRandom, pickIndex } from '../../random';
import type { CounterPeer } from '../../shared-budget';
import { createServerLimits } from '../create-server-limits';
import type { ServerLimits, ServerLimitsOptions } from '../create-server-limits';

/** Simulates the instances of one region before servers that name limits, on a stepped clock and with message delays. */

/** What an instance does about limits; the part of `ServerLimits` that sending a request needs. */
export type LimitPolicy = Pick<
  ServerLimits,
  'observe' | 'waitMs' | 'requestPermit' | 'receive' | 'runDue'
>;

/** Creates the policy of one instance. */
export type CreateLimitPolicy = (options: ServerLimitsOptions) => LimitPolicy;

/** Span of time in which instances are at fault, ms. */
interface FaultSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** A fault of the fleet. */
export type FleetFault = FaultSpan &
  (
    | { readonly kind: 'pause'; readonly instances: readonly number[] }
    /** Messages between instances of different groups are lost; an instance in no group reaches all. */
    | { readonly kind: 'cut'; readonly groups: readonly (readonly number[])[] }
    | { readonly kind: 'restart'; readonly instances: readonly number[] }
  );

/** Options of a simulation. */
export interface LimitFleetOptions {
  readonly instances: number;
  /** Returns the limit that a server names in an answer; undefined for none. One entry for each server. */
  readonly limits: readonly ((atMs: number) => number | undefined)[];
  readonly requestsPerSecond: number;
  /** Returns the instance that receives a request; `draw` is in [0, 1). */
  readonly instanceAt: (atMs: number, draw: number) => number;
  readonly durationMs: number;
  readonly seed?: number;
  readonly faults?: readonly FleetFault[];
  /** Share of the messages between instances that are lost. */
  readonly lostShare?: number;
  readonly createPolicy?: CreateLimitPolicy;
}

/** One request that reached a server, or a health check. */
export interface SentRequest {
  readonly atMs: number;
  readonly server: number;
  readonly isHealthCheck: boolean;
}

/** Result of a simulation. */
export interface LimitFleetResult {
  readonly sent: readonly SentRequest[];
  readonly requests: number;
  readonly refused: number;
  /** Requests that waited for an answer of another instance. */
  readonly waited: number;
  readonly messages: number;
  readonly messageBytes: number;
}

const STEP_MS = 5;
/** Interval between two calls by which an instance sends what is due, ms. */
const TICK_MS = 50;
/** One-way delay of a message within the region, ms. */
const DELAY_MS = 1;
/** Time from sending a request to the head of its answer, ms. */
const ANSWER_MS = 40;
/** Time until a started instance and the others have discovered one another, ms. */
const DISCOVERY_DELAY_MS = 500;
/** Times after which an unreachable instance is suspected, and considered dead, ms. */
const SUSPECTED_AFTER_MS = 2_500;
const DEAD_AFTER_MS = 7_000;
/** Time after which an instance that is reachable again is considered alive, ms. */
const ALIVE_AGAIN_AFTER_MS = 1_000;
const REGION = 'north';
const MS_PER_S = 1_000;

const idOf = (server: number) => `s-${server}`;
const indexOf = (serverId: string) => Number(serverId.slice('s-'.length));
const isDuring = ({ fromMs, toMs }: FaultSpan, atMs: number) => fromMs <= atMs && atMs < toMs;

function groupOf(groups: readonly (readonly number[])[], instance: number): number | undefined {
  const index = groups.findIndex((group) => group.includes(instance));
  return index === -1 ? undefined : index;
}

/** Returns whether a fault keeps two instances apart while it lasts. */
function separates(fault: FleetFault, from: number, to: number): boolean {
  switch (fault.kind) {
    case 'pause':
      return fault.instances.includes(to);
    case 'cut': {
      const [fromGroup, toGroup] = [groupOf(fault.groups, from), groupOf(fault.groups, to)];
      return fromGroup !== undefined && toGroup !== undefined && fromGroup !== toGroup;
    }
    case 'restart':
      return false;
    default:
      return fault satisfies never;
  }
}

interface Instance {
  readonly peer: CounterPeer;
  policy: LimitPolicy;
  startedAtMs: number;
  life: number;
}

/** Simulates requests at a fleet. The same seed gives the same result. */
export function simulateLimits(options: LimitFleetOptions): LimitFleetResult {
  const { faults = [], lostShare = 0, createPolicy = createServerLimits } = options;
  const { clock, advanceTo } = createSteppedClock(STEP_MS);
  const random = createSeededRandom(options.seed ?? 1);
  const nowMs = () => clock.monotonicMs();
  const sent: SentRequest[] = [];
  const counts = { requests: 0, refused: 0, waited: 0, messages: 0, messageBytes: 0 };
  const instances: Instance[] = [];

  const hasSeparations = faults.some(({ kind }) => kind !== 'restart');
  const pauseEndMs = (instance: number): number | undefined =>
    faults.find(
      (fault) =>
        fault.kind === 'pause' && fault.instances.includes(instance) && isDuring(fault, nowMs()),
    )?.toMs;

  /** Returns a clock whose callbacks wait while the instance is paused or gone. */
  const clockOf = (instance: number, life: number): Clock => ({
    ...clock,
    schedule(dueAtMs, callback) {
      let timer: Disposable;
      const run = (): void => {
        if (instances[instance]?.life !== life) return;
        const endMs = pauseEndMs(instance);
        if (endMs === undefined) callback();
        else timer = clock.schedule(endMs, run);
      };
      timer = clock.schedule(dueAtMs, run);
      return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
    },
  });

  const isCut = (from: number, to: number): boolean =>
    faults.some(
      (fault) => fault.kind === 'cut' && isDuring(fault, nowMs()) && separates(fault, from, to),
    );

  const statusOf = (from: number, to: number): 'alive' | 'suspect' | 'dead' | 'unknown' => {
    const knownSinceMs = Math.max(
      instances[from]?.startedAtMs ?? 0,
      instances[to]?.startedAtMs ?? 0,
    );
    if (nowMs() - knownSinceMs < DISCOVERY_DELAY_MS) return 'unknown';
    if (!hasSeparations) return 'alive';
    const fault = faults.find(
      (each) =>
        separates(each, from, to) &&
        isDuring({ fromMs: each.fromMs, toMs: each.toMs + ALIVE_AGAIN_AFTER_MS }, nowMs()),
    );
    const sinceMs = fault === undefined ? 0 : nowMs() - fault.fromMs;
    if (sinceMs >= DEAD_AFTER_MS) return 'dead';
    return sinceMs >= SUSPECTED_AFTER_MS ? 'suspect' : 'alive';
  };

  /** Whether all instances consider all others alive from now on. */
  const hasSettled = (): boolean => faults.length === 0 && nowMs() >= DISCOVERY_DELAY_MS;

  const deliver = (from: number, to: number, text: string): void => {
    counts.messages += 1;
    counts.messageBytes += Buffer.byteLength(text);
    const target = instances[to];
    if (target === undefined || isCut(from, to) || random.next() < lostShare) return;
    const { life } = target;
    clockOf(to, life).schedule(nowMs() + DELAY_MS, () => target.policy.receive(text));
  };

  const reachServer = (instance: number, server: number, isHealthCheck: boolean): void => {
    const { policy, life } = instances[instance] ?? {};
    sent.push({ atMs: nowMs(), server, isHealthCheck });
    const perSecond = options.limits[server]?.(nowMs());
    clockOf(instance, life ?? 0).schedule(nowMs() + ANSWER_MS, () =>
      policy?.observe({
        incarnationId: idOf(server),
        named: perSecond === undefined ? { kind: 'none' } : { kind: 'limit', perSecond },
        observedAtMs: nowMs(),
        source: isHealthCheck ? 'healthCheck' : 'answer',
      }),
    );
  };

  const start = (instance: number, life: number): LimitPolicy => {
    const others = () =>
      instances
        .map(({ peer }, to) => ({ peer, status: statusOf(instance, to) }))
        .filter(({ status }, to) => to !== instance && status !== 'unknown');
    /** The other instances once their statuses do not change any more; kept, since a large fleet asks often. */
    let settledPeers: readonly CounterPeer[] | undefined;
    return createPolicy({
      clock: clockOf(instance, life),
      logger: createMemoryLogger(),
      self: () => ({ instanceId: `i-${instance}`, region: REGION, address: String(instance) }),
      isCounting: () => true,
      peers() {
        settledPeers ??= hasSettled()
          ? instances.flatMap(({ peer }, to) => (to === instance ? [] : peer))
          : undefined;
        if (settledPeers !== undefined) return settledPeers;
        return others()
          .filter(({ status }) => status !== 'dead')
          .map(({ peer }) => peer);
      },
      reachableShare() {
        if (settledPeers !== undefined) return 1;
        const known = others();
        const alive = known.filter(({ status }) => status === 'alive').length;
        return (alive + 1) / (known.length + 1);
      },
      send: (address, text) => deliver(instance, Number(address), text),
      checkHealth: (serverId) => reachServer(instance, indexOf(serverId), true),
    });
  };

  for (let index = 0; index < options.instances; index += 1) {
    const peer = { instanceId: `i-${index}`, region: REGION, address: String(index) };
    instances.push({ peer, policy: start(index, 0), startedAtMs: 0, life: 0 });
  }

  const restart = (index: number): void => {
    const instance = instances[index];
    if (instance === undefined) return;
    instance.life += 1;
    instance.startedAtMs = nowMs();
    instance.policy = start(index, instance.life);
  };

  /** Sends one request to any server that may receive it, or refuses it. */
  const serve = (instance: number): void => {
    const { policy } = instances[instance] ?? {};
    if (policy === undefined) return;
    const tried = new Set<number>();
    const arrivedAtMs = nowMs();
    const tryNext = (): void => {
      const eligible = options.limits
        .map((_unused, server) => server)
        .filter((server) => !tried.has(server) && policy.waitMs(idOf(server)) === 0);
      const server = eligible[pickIndex(random, eligible.length)];
      if (server === undefined) {
        counts.refused += 1;
        return;
      }
      tried.add(server);
      policy.requestPermit(idOf(server), ({ kind }) => {
        if (kind === 'denied') tryNext();
        else {
          if (nowMs() > arrivedAtMs) counts.waited += 1;
          reachServer(instance, server, false);
        }
      });
    };
    tryNext();
  };

  const arrive = (instance: number): void => {
    counts.requests += 1;
    const endMs = pauseEndMs(instance);
    if (endMs === undefined) serve(instance);
    else clockOf(instance, instances[instance]?.life ?? 0).schedule(endMs, () => serve(instance));
  };

  const restarts = faults.filter(({ kind }) => kind === 'restart');
  let nextArrivalMs = 0;
  while (nowMs() < options.durationMs) {
    advanceTo(nowMs() + STEP_MS);
    for (const fault of restarts) {
      if (fault.kind === 'restart' && fault.fromMs > nowMs() - STEP_MS && fault.fromMs <= nowMs()) {
        fault.instances.forEach(restart);
      }
    }
    while (nextArrivalMs <= nowMs()) {
      arrive(options.instanceAt(nowMs(), random.next()));
      nextArrivalMs += (-Math.log(1 - random.next()) * MS_PER_S) / options.requestsPerSecond;
    }
    if (nowMs() % TICK_MS === 0) {
      instances.forEach(({ policy }, index) => {
        if (pauseEndMs(index) === undefined) policy.runDue();
      });
    }
  }
  return { sent, ...counts };
}

/** Returns the maximum number of requests that reach a server in any `windowMs` between two times. */
export function maxInWindow(
  sent: readonly SentRequest[],
  server: number,
  windowMs: number,
  span: FaultSpan,
): number {
  const times = sent
    .filter((request) => request.server === server && isDuring(span, request.atMs))
    .map(({ atMs }) => atMs)
    .sort((left, right) => left - right);
  let first = 0;
  let max = 0;
  times.forEach((atMs, last) => {
    while ((times[first] ?? atMs) <= atMs - windowMs) first += 1;
    max = Math.max(max, last - first + 1);
  });
  return max;
}
