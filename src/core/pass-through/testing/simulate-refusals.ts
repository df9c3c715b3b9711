import { createFakeClock, createMemoryLogger } from '../../../testing';
import type { FakeClock } from '../../../testing';
import { createPeerLoads } from '../../load-sharing';
import { createSeededRandom } from '../../random';
import { createServerNotices } from '../../server-notices';
import type { AnswerNotice, Refusals, ServerNotices } from '../../server-notices';
import { createRouter } from '../create-router';
import type { Router } from '../create-router';
import { observeDestination } from '../observe-destination';
import type { InboundRequest, RequestPlan } from '../types';
import {
  SIMULATED_REGION,
  createRoutesOf,
  createServersOf,
  requestWithPrompt,
} from './one-service';

/** Simulates the instances of one region before servers of which some refuse requests at once. */

/** What a server does with requests, besides refusing those for which it has no room. */
export type ServerConduct =
  | { readonly kind: 'takes' }
  | { readonly kind: 'refusesAll'; readonly pauseMs: number | undefined }
  | { readonly kind: 'refusesShare'; readonly share: number }
  | { readonly kind: 'refusesLong'; readonly fromTokens: number };

/** Options of a simulation. */
export interface RefusalLoad {
  readonly seed: number;
  readonly instances: number;
  /** Returns what a server does at a time; one entry for each server. */
  readonly servers: readonly ((atMs: number) => ServerConduct)[];
  readonly perSecond: number;
  readonly durationMs: number;
  /** Creates the record of refusals of each instance. */
  readonly createRefusals: () => Refusals;
  /** Requests that may not be sent a second time; the others may be sent twice. */
  readonly singleAttemptShare: number;
}

/** What one caller got. */
export interface SimulatedCall {
  readonly atMs: number;
  readonly wasServed: boolean;
  readonly tokens: number;
  /** Stated time to return of a refusal, ms. */
  readonly retryAfterMs: number | undefined;
}

/** Result of a simulation. */
export interface RefusalRun {
  readonly calls: readonly SimulatedCall[];
  /** Arrival times of requests and health checks, for each server. */
  readonly arrivals: readonly (readonly number[])[];
}

const SERVICE = 'app';
const STEP_MS = 5;
/** Delay of each message, one way, ms. */
const DELAY_MS = 1;
const SLOTS = 8;
/** Requests that a server queues beyond its slots. */
const QUEUE = 2;
/** Time that a request occupies a slot, ms. */
const SERVICE_MS = 50;
const SHORT_TOKENS = 800;
const LONG_TOKENS = 12_000;
const LONG_SHARE = 0.2;
const TICK_MS = 50;
const REPORT_INTERVAL_MS = 100;
const MS_PER_S = 1_000;

function planAt(nowMs: number, maxAttempts: number): RequestPlan {
  return {
    route: SERVICE,
    service: SERVICE,
    kind: 'idempotent',
    isResumable: false,
    priority: 1,
    objectiveMs: 600,
    pauseObjectiveMs: undefined,
    maxAttempts,
    homeRegions: [],
    routesVersion: 1,
    deadlineAtMs: nowMs + 5_000,
    timeoutAtMs: nowMs + 5_000,
    isForwarded: false,
    account: undefined,
  };
}

interface SimulatedInstance {
  readonly id: string;
  readonly router: Router;
  readonly notices: ServerNotices;
  readonly otherLoads: ReturnType<typeof createPeerLoads>;
}

/** Simulates one load; the same seed gives the same run. */
export function simulateRefusals(load: RefusalLoad): RefusalRun {
  const clock: FakeClock = createFakeClock();
  const nowMs = () => clock.monotonicMs();
  const startedAtMs = nowMs();
  const random = createSeededRandom(load.seed);
  const routes = createRoutesOf(SERVICE);
  const serverIds = load.servers.map((_conduct, index) => `s-${index}`);
  const registry = createServersOf(SERVICE, serverIds, SLOTS);
  const atServer = serverIds.map(() => 0);
  const arrivals = serverIds.map((): number[] => []);
  const calls: SimulatedCall[] = [];
  const peers = Array.from({ length: load.instances }, (_unused, index) => ({
    instanceId: `i-${index}`,
    region: SIMULATED_REGION,
    address: `i-${index}`,
  }));
  const after = (ms: number, run: () => void) => clock.schedule(nowMs() + ms, run);

  /** Has a request or a health check arrive at a server; `answer` is called back with what the server does. */
  const arriveAt = (
    serverId: string,
    tokens: number,
    answer: (verdict: { wasTaken: boolean; pauseMs: number | undefined }) => void,
  ): void => {
    const index = serverIds.indexOf(serverId);
    const conduct = load.servers[index]?.(nowMs() - startedAtMs) ?? { kind: 'takes' };
    arrivals[index]?.push(nowMs() - startedAtMs);
    const refuses =
      conduct.kind === 'refusesAll' ||
      (conduct.kind === 'refusesShare' && random.next() < conduct.share) ||
      (conduct.kind === 'refusesLong' && tokens >= conduct.fromTokens) ||
      (atServer[index] ?? 0) >= SLOTS + QUEUE;
    const pauseMs = conduct.kind === 'refusesAll' ? conduct.pauseMs : undefined;
    answer({ wasTaken: !refuses, pauseMs: refuses ? pauseMs : undefined });
  };

  const instances: SimulatedInstance[] = peers.map((self) => {
    const notices: ServerNotices = createServerNotices({
      clock,
      logger: createMemoryLogger(),
      self: () => self,
      peers: () => peers.filter((peer) => peer !== self),
      send: (address, text) =>
        after(DELAY_MS, () => {
          instances.find(({ id }) => id === address)?.notices.receive(text);
        }),
      onDeparture() {},
      checkHealth(incarnationId) {
        arriveAt(incarnationId, 0, ({ wasTaken, pauseMs }) => {
          const notice = noticeOf(incarnationId, wasTaken, pauseMs);
          after(2 * DELAY_MS, () => notices.observe({ ...notice, source: 'healthCheck' }));
        });
      },
    });
    const otherLoads = createPeerLoads();
    const router = createRouter({
      onPartsCached() {},
      region: SIMULATED_REGION,
      routes,
      servers: registry,
      otherLoads,
      pool: { hasCapacity: () => true, hasIdleConnection: () => true },
      coldServerLimiter: { maySend: () => true, recordSent() {}, keepOnly() {} },
      limits: { waitMs: () => 0 },
      notices,
      refusals: load.createRefusals(),
      peers: () => [],
      instancesInRegion: () => load.instances,
      priorityAdmission: true,
      serverSpeeds: undefined,
      draw: () => random.next(),
    });
    return { id: self.instanceId, router, notices, otherLoads };
  });

  const send = (
    instance: SimulatedInstance,
    request: InboundRequest,
    plan: RequestPlan,
    ids: Set<string>,
  ): void => {
    const { router, notices } = instance;
    const tokens = request.demand?.promptTokens ?? 0;
    const atMs = request.receivedAtMs - startedAtMs;
    const to = router.choose(request, plan, { ids, refusingRegions: new Set() }, nowMs());
    if (to.kind !== 'server') {
      const retryAfterMs = to.kind === 'none' ? to.retryAfterMs : undefined;
      calls.push({ atMs, wasServed: false, tokens, retryAfterMs });
      return;
    }
    const { serverId } = to.server;
    ids.add(serverId);
    const observer = observeDestination({ clock, router, request, plan }, to);
    notices.recordSent(serverId);
    const onAnswer = (wasTaken: boolean, pauseMs: number | undefined): void => {
      notices.observe({ ...noticeOf(serverId, wasTaken, pauseMs), source: 'answer' });
      observer.recordTaken(wasTaken);
      if (wasTaken) {
        observer.recordFirstByte();
        observer.recordEnd('answered');
        calls.push({ atMs, wasServed: true, tokens, retryAfterMs: undefined });
        return;
      }
      observer.recordEnd('refused');
      if (ids.size < plan.maxAttempts) send(instance, request, plan, ids);
      else {
        const retryAfterMs = router.waitMs(plan);
        calls.push({ atMs, wasServed: false, tokens, retryAfterMs });
      }
    };
    after(DELAY_MS, () =>
      arriveAt(serverId, tokens, ({ wasTaken, pauseMs }) => {
        const index = serverIds.indexOf(serverId);
        if (!wasTaken) {
          after(DELAY_MS, () => onAnswer(false, pauseMs));
          return;
        }
        atServer[index] = (atServer[index] ?? 0) + 1;
        const queued = Math.max(0, (atServer[index] ?? 0) - SLOTS);
        after(SERVICE_MS + (queued * SERVICE_MS) / SLOTS, () => {
          atServer[index] = (atServer[index] ?? 0) - 1;
          after(DELAY_MS, () => onAnswer(true, undefined));
        });
      }),
    );
  };

  const exchangeLoads = (): void => {
    for (const { id, router } of instances) {
      const update = { from: id, servers: router.loads.ownLoads(), cachedParts: [] };
      for (const other of instances) if (other.id !== id) other.otherLoads.receive(update, nowMs());
    }
    for (const { otherLoads } of instances) otherLoads.removeExpired(nowMs());
  };

  let nextAtMs = 0;
  let count = 0;
  for (let elapsedMs = 0; elapsedMs < load.durationMs; elapsedMs += STEP_MS) {
    clock.advanceTo(startedAtMs + elapsedMs);
    if (elapsedMs % TICK_MS === 0) for (const { notices } of instances) notices.runDue();
    // Among many instances, each reports too rarely for the reports to be complete.
    if (load.instances <= 30 && elapsedMs % REPORT_INTERVAL_MS === 0) exchangeLoads();
    while (nextAtMs <= elapsedMs) {
      nextAtMs += (-Math.log(1 - random.next()) * MS_PER_S) / load.perSecond;
      const instance = instances[Math.floor(random.next() * instances.length)];
      const tokens = random.next() < LONG_SHARE ? LONG_TOKENS : SHORT_TOKENS;
      const maxAttempts = random.next() < load.singleAttemptShare ? 1 : 2;
      count += 1;
      const request = requestWithPrompt(count, tokens, nowMs());
      if (instance !== undefined) send(instance, request, planAt(nowMs(), maxAttempts), new Set());
    }
  }
  return { calls, arrivals };
}

function noticeOf(
  incarnationId: string,
  wasTaken: boolean,
  pauseMs: number | undefined,
): Omit<AnswerNotice, 'source'> {
  return {
    incarnationId,
    departure: { kind: 'none' },
    pause: pauseMs === undefined ? { kind: 'none' } : { kind: 'pause', waitMs: pauseMs },
    isRefusal: !wasTaken,
  };
}

/** Returns the share of calls that were served, of those in a span of time. */
export function servedShare(
  { calls }: RefusalRun,
  { fromMs = 0, toMs = Infinity }: { readonly fromMs?: number; readonly toMs?: number } = {},
): number {
  const inSpan = calls.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
  return inSpan.filter(({ wasServed }) => wasServed).length / Math.max(1, inSpan.length);
}
