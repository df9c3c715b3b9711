import { createRouteTableStore } from '../../host-routes';
import { createLoadBoard } from '../../load-sharing';
import type { LoadBoard } from '../../load-sharing';
import { createSeededRandom } from '../../random';
import { createServerRegistry } from '../../server-registry';
import { createRouter } from '../create-router';
import type { Router } from '../create-router';
import { observeDestination } from '../observe-destination';
import type { InboundRequest, RequestPlan } from '../types';

/**
 * Plays callers with prompts of all sizes to instances that choose among the same servers, each of which reads one prompt
 * after the other. Time is counted in steps; nothing is measured.
 */

/** One request of a caller. */
export interface Arrival {
  readonly tokens: number;
  readonly wasLetIn: boolean;
  /** Time to its first byte, ms; undefined where it was refused. */
  readonly firstByteMs: number | undefined;
}

/** What is played. */
export interface AdmissionLoad {
  readonly seed: number;
  /** Requests of all callers together. */
  readonly perSecond: number;
  readonly instances: number;
  readonly servers: number;
  readonly durationMs: number;
  /** Each instance is started anew this often, and knows nothing then; undefined for never. */
  readonly restartEveryMs?: number;
  /** Sizes of prompts; documents of some 9,000 tokens where none is given. */
  readonly sizes?: PromptSizes;
}

/** Sizes of prompts: log-normal, within bounds. */
export interface PromptSizes {
  readonly medianTokens: number;
  readonly spread: number;
  readonly fewestTokens: number;
  readonly mostTokens: number;
}

const OBJECTIVE_MS = 800;

const REVIEW = 'review';
const PLAN: RequestPlan = {
  route: REVIEW,
  service: REVIEW,
  kind: 'stream',
  isResumable: true,
  priority: 1,
  objectiveMs: OBJECTIVE_MS,
  pauseObjectiveMs: 300,
  maxAttempts: 2,
  homeRegions: [],
  routesVersion: 1,
  deadlineAtMs: 1_000_000,
  timeoutAtMs: 1_000_000,
  isForwarded: false,
  account: undefined,
};
/** Reading of one prompt token, ms, as fast as large accelerators do it. */
const READ_MS_PER_TOKEN = 0.02;
/** What each first byte takes besides: the way there and back, a step of the batch, a slow instance, ms. */
const FIXED_MS = 250;
/** Time that an answer goes on after its first byte, ms. */
const ANSWER_MS = 1_000;
const PATIENCE_MS = 5_000;
const STEP_MS = 5;
/** Rest between two statements of the instances to one another, ms. */
const TELL_EVERY_MS = 100;
const DOCUMENTS: PromptSizes = {
  medianTokens: 9_000,
  spread: 0.45,
  fewestTokens: 4_000,
  mostTokens: 36_000,
};
const MS_PER_S = 1_000;

type Random = ReturnType<typeof createSeededRandom>;

/** A number with the normal distribution. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function drawTokens(sizes: PromptSizes, random: Random): number {
  const drawn = sizes.medianTokens * Math.exp(sizes.spread * normal(random));
  return Math.round(Math.min(sizes.mostTokens, Math.max(sizes.fewestTokens, drawn)));
}

/** Time to the first byte of such a prompt at a server that has nothing else to do, ms. */
export function idleFirstByteMs(tokens: number): number {
  return FIXED_MS + tokens * READ_MS_PER_TOKEN;
}

function createServers(count: number) {
  const servers = createServerRegistry({ regionOf: () => 'north', coldStartMs: () => 0 });
  for (let index = 1; index <= count; index += 1) {
    servers.put(
      {
        serverId: `n-${index}`,
        startedAtUnixMs: undefined,
        service: REVIEW,
        address: `n-${index}:1`,
        failureDomain: 'north-a',
        slots: 64,
        isDraining: false,
        coldForMs: 0,
        goneInMs: undefined,
      },
      0,
    );
  }
  return servers;
}

function createRoutes() {
  const routes = createRouteTableStore();
  const service = {
    name: REVIEW,
    maxConnections: 5_000,
    coldStartMs: 0,
    coldRequestsPerSecond: 0,
    healthPath: '/health',
    copyMsPerToken: undefined,
  };
  routes.offer({
    version: 1,
    routes: [],
    services: new Map([[REVIEW, service]]),
    limits: { headerBytes: 8_192, bodyBytes: 8_192, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    accounts: undefined,
  });
  return routes;
}

interface PlayedInstance {
  readonly id: string;
  readonly router: Router;
  readonly others: LoadBoard;
}

/** Instances of one region; `restart` starts one of them anew. */
function createInstances(load: AdmissionLoad, random: Random) {
  const routes = createRoutes();
  const servers = createServers(load.servers);
  let starts = 0;
  const start = (): PlayedInstance => {
    const others = createLoadBoard();
    const router = createRouter({
      onRead() {},
      region: 'north',
      routes,
      servers,
      others,
      pool: { hasRoom: () => true, hasIdle: () => true },
      coldGate: { isOpen: () => true, noteSent() {}, keepOnly() {} },
      peers: () => [],
      instancesInRegion: () => load.instances,
      draw: () => random.next(),
    });
    starts += 1;
    return { id: `a-${starts}`, router, others };
  };
  const all = Array.from({ length: load.instances }, start);
  return {
    all,
    restart(index: number) {
      all[index] = start();
    },
    /** Each tells the others what it has under way. */
    tell(nowMs: number) {
      for (const { id, router } of all) {
        const statement = { from: id, servers: router.loads.ownWork(), read: [] };
        for (const other of all) if (other.id !== id) other.others.take(statement, nowMs);
      }
      for (const { others } of all) others.dropOld(nowMs);
    },
  };
}

function requestOf(index: number, tokens: number, nowMs: number): InboundRequest {
  return {
    requestId: `r-${index}`,
    method: 'POST',
    path: '/review',
    headers: [],
    body: new Uint8Array(),
    receivedAtMs: nowMs,
    lastEventId: undefined,
    demand: { parts: [{ partId: `own-${index}`, tokens }], promptTokens: tokens },
  };
}

/** Plays one load; the same seed gives the same arrivals. */
export function playAdmission(load: AdmissionLoad): readonly Arrival[] {
  const random = createSeededRandom(load.seed);
  const instances = createInstances(load, random);
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs };
  const readUntilMs = new Map<string, number>();
  const due: { atMs: number; run(): void }[] = [];
  const arrivals: Arrival[] = [];
  let nextAtMs = 0;
  let toldAtMs = 0;
  let restarts = 0;

  const runDue = (): void => {
    for (const task of due.filter(({ atMs }) => atMs <= nowMs)) {
      due.splice(due.indexOf(task), 1);
      task.run();
    }
  };

  const tellAndRestart = (): void => {
    if (load.instances > 1 && nowMs - toldAtMs >= TELL_EVERY_MS) {
      toldAtMs = nowMs;
      instances.tell(nowMs);
    }
    const { restartEveryMs = Infinity } = load;
    // One after the other, so that each has its turn once in that time.
    const restartsDue = Math.floor((nowMs * load.instances) / restartEveryMs);
    for (; restarts < restartsDue; restarts += 1) instances.restart(restarts % load.instances);
  };

  const arrive = (): void => {
    const tokens = drawTokens(load.sizes ?? DOCUMENTS, random);
    const request = requestOf(arrivals.length, tokens, nowMs);
    const plan = { ...PLAN, deadlineAtMs: nowMs + PATIENCE_MS, timeoutAtMs: nowMs + PATIENCE_MS };
    const index = load.instances > 1 ? Math.floor(random.next() * load.instances) : 0;
    const instance = instances.all[index];
    if (instance === undefined) throw new Error('no instance to ask');
    const { router } = instance;
    const tried = { ids: new Set<string>(), refusingRegions: new Set<string>() };
    const to = router.choose(request, plan, tried, nowMs);
    if (to.kind !== 'server') {
      arrivals.push({ tokens, wasLetIn: false, firstByteMs: undefined });
      return;
    }
    const { serverId } = to.server;
    const readAtMs = Math.max(nowMs, readUntilMs.get(serverId) ?? 0) + tokens * READ_MS_PER_TOKEN;
    readUntilMs.set(serverId, readAtMs);
    const firstByteAtMs = readAtMs + FIXED_MS;
    arrivals.push({ tokens, wasLetIn: true, firstByteMs: firstByteAtMs - nowMs });
    const observer = observeDestination({ clock, router, request, plan }, to);
    due.push({ atMs: firstByteAtMs, run: () => observer.noteFirstByte() });
    due.push({ atMs: firstByteAtMs + ANSWER_MS, run: () => observer.noteEnd('answered') });
  };

  for (; nowMs < load.durationMs; nowMs += STEP_MS) {
    runDue();
    tellAndRestart();
    while (nextAtMs <= nowMs) {
      nextAtMs += (-Math.log(1 - random.next()) * MS_PER_S) / load.perSecond;
      arrive();
    }
  }
  return arrivals;
}

/** Arrivals by size: the largest tenth, and the fifth below it. */
export function bySize(arrivals: readonly Arrival[]) {
  const sorted = [...arrivals].sort((left, right) => right.tokens - left.tokens);
  const tenth = Math.ceil(arrivals.length / 10);
  return { largestTenth: sorted.slice(0, tenth), fifthBelow: sorted.slice(tenth, 3 * tenth) };
}

/** Share of arrivals that were let in. */
export function shareLetIn(arrivals: readonly Arrival[]): number {
  return arrivals.filter(({ wasLetIn }) => wasLetIn).length / Math.max(1, arrivals.length);
}

/** Share of arrivals whose first byte came within the objective. */
export function shareInTime(arrivals: readonly Arrival[]): number {
  const inTime = arrivals.filter(({ firstByteMs = Infinity }) => firstByteMs <= OBJECTIVE_MS);
  return inTime.length / Math.max(1, arrivals.length);
}
