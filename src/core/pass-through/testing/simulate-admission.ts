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
import { READ_MS_PER_TOKEN, createReader } from './prompt-reader';
import type { SimulatedReader } from './prompt-reader';

/**
 * Simulates callers with prompts of all sizes, and instances that choose among the same servers.
 * Each server reads one prompt at a time, a chunk after the other, and continues with the most urgent
 * one after each chunk. Time is simulated and advances in fixed steps.
 */

/** One request of a caller. */
export interface Arrival {
  readonly kind: SimulatedKind;
  readonly atMs: number;
  readonly tokens: number;
  readonly wasAdmitted: boolean;
  /** Time to its first byte, ms; undefined if it was refused. */
  readonly firstByteMs: number | undefined;
  /** Index of the server that it was sent to; undefined if it was refused. */
  readonly server: number | undefined;
}

/** Requests of one priority. */
export interface SimulatedKind {
  readonly priority: number;
  readonly objectiveMs: number;
  readonly sizes: PromptSizes;
  /** Share of all requests. */
  readonly share: number;
}

/** Parameters of a simulation. */
export interface AdmissionLoad {
  readonly seed: number;
  /** Request rate of all callers together; the mean if `rateFactor` is given. */
  readonly perSecond: number;
  /** Returns the request rate at a time as a multiple of the mean; 1 by default. */
  readonly rateFactor?: (atMs: number) => number;
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
  /** Kinds of requests; by default, one with the given sizes. */
  readonly kinds?: readonly SimulatedKind[];
  /** Fixed time of each first byte, ms: the round trip, a step of the batch, delay in the instance. */
  readonly fixedMs?: number;
  /** What is considered besides the latency objective of each request; the bound on waits by default. */
  readonly priorityRule?: PriorityRule;
  /** Returns how much longer than usual the work of a server takes at a time; 1 by default. */
  readonly slowdownOf?: (server: number, nowMs: number) => number;
  /** Returns the slowdown that a server states in an answer; not stated by default. */
  readonly statedSlowdownOf?: (server: number, nowMs: number) => number | undefined;
  /** Creates the speeds of servers for one instance; none by default. */
  readonly createServerSpeeds?: () => ServerSpeeds;
}

/** How requests of several priorities are admitted. */
export type PriorityRule =
  /** By the latency objective only. */
  | 'none'
  /** With the bound on the waits of less urgent requests. */
  | 'maxWait'
  /**
   * By the share of each priority that the capacity has room for, from the demand of the last
   * second, most urgent first. Stands for an exchange between the instances of a region.
   */
  | 'share';

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
/** Fixed time of each first byte by default, ms. */
const FIXED_MS = 250;
/** Interval at which the shares of priorities are computed from the demand since the last time, ms. */
const SHARE_INTERVAL_MS = 1_000;
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
      priorityAdmission: (load.priorityRule ?? 'maxWait') === 'maxWait',
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

/** Admits the share of each priority that the capacity of the last second had room for. */
function createShareRule(servers: number, random: Random) {
  const capacityTokens = (servers * SHARE_INTERVAL_MS) / READ_MS_PER_TOKEN;
  let demandTokens = new Map<number, number>();
  let shares = new Map<number, number>();
  let computedAtMs = 0;
  const compute = (): void => {
    let roomTokens = capacityTokens;
    shares = new Map();
    for (const [priority, tokens] of [...demandTokens].sort(([left], [right]) => left - right)) {
      shares.set(priority, Math.min(1, roomTokens / tokens));
      roomTokens = Math.max(0, roomTokens - tokens);
    }
    demandTokens = new Map();
  };
  return {
    admits(priority: number, tokens: number, nowMs: number): boolean {
      if (nowMs - computedAtMs >= SHARE_INTERVAL_MS) {
        computedAtMs = nowMs;
        compute();
      }
      demandTokens.set(priority, (demandTokens.get(priority) ?? 0) + tokens);
      return random.next() < (shares.get(priority) ?? 1);
    },
  };
}

/** Returns one of the kinds, drawn by their shares. */
function drawKind(kinds: readonly SimulatedKind[], random: Random): SimulatedKind {
  const [only] = kinds;
  if (only !== undefined && kinds.length === 1) return only;
  let rest = random.next() * kinds.reduce((sum, { share }) => sum + share, 0);
  const drawn = kinds.find(({ share }) => {
    rest -= share;
    return rest < 0;
  });
  if (drawn === undefined) throw new Error('no kind to draw');
  return drawn;
}

/** Simulates one load; the same seed gives the same arrivals. */
export function simulateAdmission(load: AdmissionLoad): readonly Arrival[] {
  const random = createSeededRandom(load.seed);
  const instances = createInstances(load, random);
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs };
  const fixedMs = load.fixedMs ?? FIXED_MS;
  const kinds = load.kinds ?? [
    {
      priority: PLAN.priority,
      objectiveMs: OBJECTIVE_MS,
      sizes: load.sizes ?? DOCUMENTS,
      share: 1,
    },
  ];
  const readers = new Map<string, SimulatedReader>();
  const readerOf = (serverId: string): SimulatedReader => {
    const { slowdownOf } = load;
    const server = instances.indexOf(serverId);
    const slowdownAt = slowdownOf && ((atMs: number) => slowdownOf(server, atMs));
    const reader = readers.get(serverId) ?? createReader(slowdownAt);
    readers.set(serverId, reader);
    return reader;
  };
  const shareRule = createShareRule(load.servers, random);
  const due: { atMs: number; run(): void }[] = [];
  const arrivals: Arrival[] = [];
  let nextAtMs = 0;
  let reportedAtMs = 0;
  let restarts = 0;

  const runDue = (): void => {
    for (const reader of readers.values()) reader.advance(nowMs);
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
    const kind = drawKind(kinds, random);
    const tokens = drawTokens(kind.sizes, random);
    const arrival = { kind, atMs: nowMs, tokens };
    const request = requestWithPrompt(arrivals.length, tokens, nowMs);
    const plan = {
      ...PLAN,
      priority: kind.priority,
      objectiveMs: kind.objectiveMs,
      deadlineAtMs: nowMs + CALLER_TIMEOUT_MS,
      timeoutAtMs: nowMs + CALLER_TIMEOUT_MS,
    };
    const index = load.instances > 1 ? Math.floor(random.next() * load.instances) : 0;
    const instance = instances.all[index];
    if (instance === undefined) throw new Error('no instance to send to');
    const { router } = instance;
    const tried = { ids: new Set<string>(), refusingRegions: new Set<string>() };
    const hasShare =
      load.priorityRule !== 'share' || shareRule.admits(kind.priority, tokens, nowMs);
    const to = hasShare ? router.choose(request, plan, tried, nowMs) : undefined;
    if (to?.kind !== 'server') {
      arrivals.push({ ...arrival, wasAdmitted: false, firstByteMs: undefined, server: undefined });
      return;
    }
    const { serverId, incarnationId } = to.server;
    const server = instances.indexOf(serverId);
    const slowdownAt = (atMs: number) => load.slowdownOf?.(server, atMs) ?? 1;
    const admitted: { -readonly [Key in keyof Arrival]: Arrival[Key] } = {
      ...arrival,
      wasAdmitted: true,
      firstByteMs: undefined,
      server,
    };
    arrivals.push(admitted);
    const observer = observeDestination({ clock, router, request, plan }, to);
    const onFirstByte = (): void => {
      const slowdown = load.statedSlowdownOf?.(server, nowMs);
      // The simulation has no figures of the requests at a server but those that the instances report.
      if (slowdown !== undefined) {
        router.serverSpeeds?.recordStatedSlowdown(incarnationId, slowdown, nowMs);
      }
      observer.recordFirstByte();
    };
    const onRead = (readAtMs: number): void => {
      const firstByteAtMs = readAtMs + fixedMs;
      const endAtMs = firstByteAtMs + ANSWER_MS * slowdownAt(firstByteAtMs);
      admitted.firstByteMs = firstByteAtMs - arrival.atMs;
      due.push({ atMs: firstByteAtMs, run: onFirstByte });
      due.push({ atMs: endAtMs, run: () => observer.recordEnd('answered') });
    };
    const prompt = { priority: kind.priority, remainingTokens: tokens, onRead };
    readerOf(serverId).add(prompt, nowMs);
  };

  for (; nowMs < load.durationMs; nowMs += STEP_MS) {
    runDue();
    reportAndRestart();
    while (nextAtMs <= nowMs) {
      const perSecond = load.perSecond * (load.rateFactor?.(nowMs) ?? 1);
      nextAtMs += (-Math.log(1 - random.next()) * MS_PER_S) / perSecond;
      arrive();
    }
  }
  // What has been admitted is still read.
  for (const reader of readers.values()) reader.advance(Infinity);
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
  return arrivals.filter(isInTime).length / Math.max(1, arrivals.length);
}

function isInTime({ kind, firstByteMs = Infinity }: Arrival): boolean {
  return firstByteMs <= kind.objectiveMs;
}

/** Returns the time that reading the prompts answered in time took, over all servers, ms. */
export function readInTimeMs(arrivals: readonly Arrival[]): number {
  const tokens = arrivals.filter(isInTime).reduce((sum, arrival) => sum + arrival.tokens, 0);
  return tokens * READ_MS_PER_TOKEN;
}

/** Returns the share of admitted arrivals whose first byte came after the objective. */
export function lateShare(arrivals: readonly Arrival[]): number {
  const admitted = arrivals.filter(({ wasAdmitted }) => wasAdmitted);
  const late = admitted.filter(({ firstByteMs = 0 }) => firstByteMs > OBJECTIVE_MS);
  return late.length / Math.max(1, admitted.length);
}
