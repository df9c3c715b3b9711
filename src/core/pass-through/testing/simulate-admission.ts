import { createPeerLoads } from '../../load-sharing';
import type { PeerLoads } from '../../load-sharing';
import type { ServerSpeeds } from '../../placement';
import { createSeededRandom } from '../../random';
import { createRouter } from '../create-router';
import type { Router } from '../create-router';
import { observeDestination } from '../observe-destination';
import type { RequestPlan } from '../types';
import {
  SIMULATED_REGION,
  createRoutesOf,
  createServersOf,
  requestWithPrompt,
} from './one-service';

/**
 * Simulates callers with prompts of all sizes, and instances that choose among the same servers.
 * Each server reads one prompt after the other. Time is simulated and advances in fixed steps.
 */

/** One request of a caller. */
export interface Arrival {
  readonly tokens: number;
  readonly wasAdmitted: boolean;
  /** Time to its first byte, ms; undefined if it was refused. */
  readonly firstByteMs: number | undefined;
  /** Index of the server that it was sent to; undefined if it was refused. */
  readonly server: number | undefined;
}

/** Parameters of a simulation. */
export interface AdmissionLoad {
  readonly seed: number;
  /** Request rate of all callers together. */
  readonly perSecond: number;
  readonly instances: number;
  readonly servers: number;
  readonly durationMs: number;
  /**
   * Interval between restarts of each instance, which lose all its state; undefined for no
   * restarts.
   */
  readonly restartEveryMs?: number;
  /** Sizes of prompts; by default, documents of about 9,000 tokens. */
  readonly sizes?: PromptSizes;
  /** Returns how much longer than usual the work of a server takes at a time; 1 by default. */
  readonly slowdownOf?: (server: number, nowMs: number) => number;
  /** Returns the slowdown that a server states in an answer; not stated by default. */
  readonly statedSlowdownOf?: (server: number, nowMs: number) => number | undefined;
  /** Creates the speeds of servers for one instance; none by default. */
  readonly createServerSpeeds?: () => ServerSpeeds;
}

/** Log-normal distribution of prompt sizes, within bounds. */
export interface PromptSizes {
  readonly medianTokens: number;
  readonly spread: number;
  readonly minTokens: number;
  readonly maxTokens: number;
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
/** Time to read one prompt token, ms: the speed of large accelerators. */
const READ_MS_PER_TOKEN = 0.02;
/** Fixed time of each first byte, ms: the round trip, a step of the batch, delay in the instance. */
const FIXED_MS = 250;
/** Duration of an answer after its first byte, ms. */
const ANSWER_MS = 1_000;
const CALLER_TIMEOUT_MS = 5_000;
const STEP_MS = 5;
const SLOTS = 64;
/** Interval between load reports of the instances, ms. */
const REPORT_INTERVAL_MS = 100;
const DOCUMENTS: PromptSizes = {
  medianTokens: 9_000,
  spread: 0.45,
  minTokens: 4_000,
  maxTokens: 36_000,
};
const MS_PER_S = 1_000;

type Random = ReturnType<typeof createSeededRandom>;

/** Returns a normally distributed random number. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function drawTokens(sizes: PromptSizes, random: Random): number {
  const drawn = sizes.medianTokens * Math.exp(sizes.spread * normal(random));
  return Math.round(Math.min(sizes.maxTokens, Math.max(sizes.minTokens, drawn)));
}

/** Returns the time to the first byte of a prompt at an idle server, ms. */
export function idleFirstByteMs(tokens: number): number {
  return FIXED_MS + tokens * READ_MS_PER_TOKEN;
}

/** Returns the time at which work ends that takes `usualMs` at the usual speed, at a speed that changes. */
function endOfWork(startMs: number, usualMs: number, slowdownAt: (atMs: number) => number): number {
  let atMs = startMs;
  for (let remainingMs = usualMs; remainingMs > 0;) {
    const slowdown = slowdownAt(atMs);
    const doneMs = Math.min(remainingMs, STEP_MS / slowdown);
    remainingMs -= doneMs;
    atMs += doneMs * slowdown;
  }
  return atMs;
}

interface SimulatedInstance {
  readonly id: string;
  readonly router: Router;
  readonly otherLoads: PeerLoads;
}

/** Creates the instances of one region; `restart` replaces one of them with a new one. */
function createInstances(load: AdmissionLoad, random: Random) {
  const routes = createRoutesOf(REVIEW);
  const serverIds = Array.from({ length: load.servers }, (_unused, index) => `n-${index + 1}`);
  const servers = createServersOf(REVIEW, serverIds, SLOTS);
  const indexOf = (serverId: string) => serverIds.indexOf(serverId);
  let starts = 0;
  const start = (): SimulatedInstance => {
    const otherLoads = createPeerLoads();
    const router = createRouter({
      onPartsCached() {},
      region: SIMULATED_REGION,
      routes,
      servers,
      otherLoads,
      pool: { hasCapacity: () => true, hasIdleConnection: () => true },
      coldServerLimiter: { maySend: () => true, recordSent() {}, keepOnly() {} },
      limits: { waitMs: () => 0 },
      notices: { waitMs: () => 0 },
      peers: () => [],
      instancesInRegion: () => load.instances,
      serverSpeeds: load.createServerSpeeds?.(),
      draw: () => random.next(),
    });
    starts += 1;
    return { id: `a-${starts}`, router, otherLoads };
  };
  const all = Array.from({ length: load.instances }, start);
  return {
    all,
    indexOf,
    restart(index: number) {
      all[index] = start();
    },
    /** Sends the work in flight of each instance to all others. */
    exchangeReports(nowMs: number) {
      for (const { id, router } of all) {
        const update = { from: id, servers: router.loads.ownLoads(), cachedParts: [] };
        for (const other of all) if (other.id !== id) other.otherLoads.receive(update, nowMs);
      }
      for (const { otherLoads } of all) otherLoads.removeExpired(nowMs);
    },
  };
}

/** Simulates one load; the same seed gives the same arrivals. */
export function simulateAdmission(load: AdmissionLoad): readonly Arrival[] {
  const random = createSeededRandom(load.seed);
  const instances = createInstances(load, random);
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs };
  const readUntilMs = new Map<string, number>();
  const due: { atMs: number; run(): void }[] = [];
  const arrivals: Arrival[] = [];
  let nextAtMs = 0;
  let reportedAtMs = 0;
  let restarts = 0;

  const runDue = (): void => {
    for (const task of due.filter(({ atMs }) => atMs <= nowMs)) {
      due.splice(due.indexOf(task), 1);
      task.run();
    }
  };

  const reportAndRestart = (): void => {
    if (load.instances > 1 && nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
      reportedAtMs = nowMs;
      instances.exchangeReports(nowMs);
    }
    const { restartEveryMs = Infinity } = load;
    // Instances restart one after the other, each once per interval.
    const restartsDue = Math.floor((nowMs * load.instances) / restartEveryMs);
    for (; restarts < restartsDue; restarts += 1) instances.restart(restarts % load.instances);
  };

  const arrive = (): void => {
    const tokens = drawTokens(load.sizes ?? DOCUMENTS, random);
    const request = requestWithPrompt(arrivals.length, tokens, nowMs);
    const plan = {
      ...PLAN,
      deadlineAtMs: nowMs + CALLER_TIMEOUT_MS,
      timeoutAtMs: nowMs + CALLER_TIMEOUT_MS,
    };
    const index = load.instances > 1 ? Math.floor(random.next() * load.instances) : 0;
    const instance = instances.all[index];
    if (instance === undefined) throw new Error('no instance to send to');
    const { router } = instance;
    const tried = { ids: new Set<string>(), refusingRegions: new Set<string>() };
    const to = router.choose(request, plan, tried, nowMs);
    if (to.kind !== 'server') {
      arrivals.push({ tokens, wasAdmitted: false, firstByteMs: undefined, server: undefined });
      return;
    }
    const { serverId } = to.server;
    const server = instances.indexOf(serverId);
    const slowdownAt = (atMs: number) => load.slowdownOf?.(server, atMs) ?? 1;
    const startMs = Math.max(nowMs, readUntilMs.get(serverId) ?? 0);
    const readMs = tokens * READ_MS_PER_TOKEN;
    const readAtMs =
      load.slowdownOf === undefined ? startMs + readMs : endOfWork(startMs, readMs, slowdownAt);
    readUntilMs.set(serverId, readAtMs);
    const firstByteAtMs = readAtMs + FIXED_MS;
    arrivals.push({ tokens, wasAdmitted: true, firstByteMs: firstByteAtMs - nowMs, server });
    const observer = observeDestination({ clock, router, request, plan }, to);
    due.push({
      atMs: firstByteAtMs,
      run() {
        const slowdown = load.statedSlowdownOf?.(server, nowMs);
        // The simulation has no figures of the requests at a server but those that the instances report.
        if (slowdown !== undefined) {
          const { incarnationId } = to.server;
          router.serverSpeeds?.recordStatedSlowdown(incarnationId, slowdown, nowMs);
        }
        observer.recordFirstByte();
      },
    });
    due.push({
      atMs: firstByteAtMs + ANSWER_MS * slowdownAt(firstByteAtMs),
      run: () => observer.recordEnd('answered'),
    });
  };

  for (; nowMs < load.durationMs; nowMs += STEP_MS) {
    runDue();
    reportAndRestart();
    while (nextAtMs <= nowMs) {
      nextAtMs += (-Math.log(1 - random.next()) * MS_PER_S) / load.perSecond;
      arrive();
    }
  }
  return arrivals;
}

/** Returns the largest tenth of the arrivals, and the fifth below it. */
export function splitBySize(arrivals: readonly Arrival[]) {
  const sorted = [...arrivals].sort((left, right) => right.tokens - left.tokens);
  const tenth = Math.ceil(arrivals.length / 10);
  return { largestTenth: sorted.slice(0, tenth), fifthBelow: sorted.slice(tenth, 3 * tenth) };
}

/** Returns the share of arrivals that were admitted. */
export function admittedShare(arrivals: readonly Arrival[]): number {
  return arrivals.filter(({ wasAdmitted }) => wasAdmitted).length / Math.max(1, arrivals.length);
}

/** Returns the share of arrivals whose first byte came within the objective. */
export function inTimeShare(arrivals: readonly Arrival[]): number {
  const inTime = arrivals.filter(({ firstByteMs = Infinity }) => firstByteMs <= OBJECTIVE_MS);
  return inTime.length / Math.max(1, arrivals.length);
}

/** Returns the share of admitted arrivals whose first byte came after the objective. */
export function lateShare(arrivals: readonly Arrival[]): number {
  const admitted = arrivals.filter(({ wasAdmitted }) => wasAdmitted);
  const late = admitted.filter(({ firstByteMs = 0 }) => firstByteMs > OBJECTIVE_MS);
  return late.length / Math.max(1, admitted.length);
}
