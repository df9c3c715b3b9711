import { createMemoryLogger, createFakeClock } from '../../../testing';
import { createGossipStore } from '../../gossip';
import { createSeededRandom, pickIndex } from '../../random';
import { createCrashCauses } from '../create-crash-causes';
import type { CrashCauses } from '../create-crash-causes';
import { createSuspectParts } from '../suspect-parts';
import type { PartTrial } from '../types';

/** Simulates several instances, and servers of three regions that crash when they begin to answer on certain parts. */

/** What the requests hold, and why servers crash. */
export interface FleetScenario {
  /** Requests a second at all instances together. */
  readonly requestsPerS: number;
  /** Share of the requests that hold each crashing part, from 0 to 1; all together at most 1. */
  readonly share: number;
  readonly crashingParts: readonly string[];
  readonly serversPerRegion: number;
  /** Servers that a request may be sent to. */
  readonly maxAttempts: number;
  /** Interval at which one server ends by itself, ms; none by default. */
  readonly otherCrashEveryMs?: number;
  readonly seconds: number;
  readonly seed: number;
  /** Whether requests with a suspected part go one at a time; if not, only what is found to be a cause is refused. */
  readonly isOneAtATime: boolean;
}

/** What became of it. */
export interface FleetOutcome {
  readonly crashes: number;
  /** Requests with a crashing part that reached servers later than 5 s after the fifth crash under it; the most by part. */
  readonly late: number;
  /** Answers to sound requests that a crash broke off. */
  readonly brokenOff: number;
  readonly sound: number;
  /** Sound requests that were refused for a part that is not a cause. */
  readonly soundRefused: number;
  /** Longest time in which sound requests with some part were refused and none was let through, ms. */
  readonly longestRefusalMs: number;
}

interface OpenRequest {
  readonly parts: readonly string[];
  readonly isBad: boolean;
  readonly instance: number;
  readonly attempt: number;
  readonly sentAtMs: number;
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
  trial: PartTrial | undefined;
}

interface SimulatedServer {
  id: string;
  readonly region: number;
  upAtMs: number;
  requests: OpenRequest[];
}

/** A crash that is not known to be one yet. */
interface Undecided {
  readonly serverId: string;
  readonly region: number;
  readonly atMs: number;
  readonly knownAtMs: number;
  readonly requests: readonly OpenRequest[];
}

const STEP_MS = 5;
const MS_PER_S = 1_000;
const INSTANCES = 8;
const REGIONS = 3;
const RESTART_MS = 3_000;
/** Delay of messages between instances, and of the check that shows a crash, ms. */
const MESSAGE_DELAY_MS = 30;
const CHECK_MS = 10;
/** Delay after the start of a server at which it shows that the one before has crashed, ms. */
const RESTART_SHOWN_MS = 50;
const PREFILL_MS = 60;
const MIN_ANSWER_MS = 300;
const MAX_ANSWER_MS = 2_000;
const SURVIVED_MS = 250;
const CALM_MS = 10_000;
const SYSTEM_PART = 'a0';
const SUBJECTS = 10;
const ALLOWED_AFTER_MS = 5_000;
const FIFTH = 5;
const SERVICE = 'chat';
const REGION_NAMES = Array.from({ length: REGIONS }, (_unused, region) => `region-${region}`);

const requestOf = (parts: readonly string[]) => ({
  service: SERVICE,
  demand: {
    parts: [...parts, 'own'].map((partId) => ({ partId, tokens: 100 })),
    promptTokens: 100 * parts.length,
  },
});

/** Runs a simulation. */
export function simulateFleet(scenario: FleetScenario): FleetOutcome {
  const { crashingParts, serversPerRegion, isOneAtATime } = scenario;
  const random = createSeededRandom(scenario.seed);
  const clock = createFakeClock();
  const instances: CrashCauses[] = [];
  for (let index = 0; index < INSTANCES; index += 1) {
    instances.push(
      createCrashCauses({
        clock,
        logger: createMemoryLogger(),
        gossip: createGossipStore(`i-${index}`, clock),
        instanceId: `i-${index}`,
        suspectParts: createSuspectParts('secret'),
        isEnabled: () => true,
        regions: () => REGION_NAMES,
        send(_regions, text) {
          clock.schedule(clock.monotonicMs() + MESSAGE_DELAY_MS, () => {
            instances.forEach((other, to) => to !== index && other.receive(text));
          });
        },
        rankOf: () => index,
        onExplained() {},
        draw: random.next,
      }),
    );
  }
  const servers: SimulatedServer[] = Array.from(
    { length: serversPerRegion * REGIONS },
    (_unused, index) => ({ id: `s-${index}`, region: index % REGIONS, upAtMs: 0, requests: [] }),
  );
  const undecided: Undecided[] = [];
  const crashAtMs = new Map<string, number[]>(crashingParts.map((part) => [part, []]));
  const lateByPart = new Map<string, number>();
  const refusedSinceMs = new Map<string, number>();
  let starts = 0;
  let crashes = 0;
  let brokenOff = 0;
  let sound = 0;
  let soundRefused = 0;
  let longestRefusalMs = 0;

  const isRefused = (causes: CrashCauses, parts: readonly string[]): boolean =>
    causes.convictionOf(requestOf(parts)) !== undefined ||
    (isOneAtATime && causes.heldBy(requestOf(parts)) !== undefined);

  const recordRefusal = (parts: readonly string[], nowMs: number): void => {
    soundRefused += 1;
    for (const part of parts) {
      const sinceMs = refusedSinceMs.get(part) ?? nowMs;
      refusedSinceMs.set(part, sinceMs);
      longestRefusalMs = Math.max(longestRefusalMs, nowMs - sinceMs);
    }
  };

  const recordArrival = (part: string, nowMs: number): void => {
    const fifthAtMs = crashAtMs.get(part)?.[FIFTH - 1] ?? Infinity;
    if (nowMs > fifthAtMs + ALLOWED_AFTER_MS) lateByPart.set(part, (lateByPart.get(part) ?? 0) + 1);
  };

  const send = (instance: number, parts: readonly string[], attempt: number): void => {
    const nowMs = clock.monotonicMs();
    const causes = instances[instance];
    if (causes === undefined) return;
    const bad = crashingParts.find((part) => parts.includes(part));
    if (bad === undefined && attempt === 1) sound += 1;
    if (isRefused(causes, parts)) {
      if (bad === undefined) recordRefusal(parts, nowMs);
      return;
    }
    if (bad === undefined) for (const part of parts) refusedSinceMs.delete(part);
    const up = servers.filter(({ upAtMs }) => upAtMs <= nowMs);
    const here = up.filter(({ region }) => region === instance % REGIONS);
    const usable = here.length > 0 ? here : up;
    const server = usable[pickIndex(random, usable.length)];
    if (server === undefined) return;
    const request = requestOf(parts);
    causes.recordSent(request);
    const trial = isOneAtATime ? causes.beginTrial(request) : undefined;
    const beginsAtMs = nowMs + PREFILL_MS * (0.5 + random.next());
    const answerMs = MIN_ANSWER_MS + random.next() * (MAX_ANSWER_MS - MIN_ANSWER_MS);
    const isBad = bad !== undefined;
    const times = { sentAtMs: nowMs, beginsAtMs, endsAtMs: beginsAtMs + answerMs };
    server.requests.push({ parts, isBad, instance, attempt, ...times, trial });
    if (bad !== undefined) recordArrival(bad, nowMs);
  };

  const crash = (server: SimulatedServer): void => {
    const nowMs = clock.monotonicMs();
    crashes += 1;
    const { id: serverId, region, requests } = server;
    starts += 1;
    Object.assign(server, { id: `start-${starts}`, upAtMs: nowMs + RESTART_MS, requests: [] });
    const hasControl = servers.some((other) => other.region === region && other.upAtMs <= nowMs);
    const delayMs = hasControl ? CHECK_MS : RESTART_MS + RESTART_SHOWN_MS;
    undecided.push({ serverId, region, atMs: nowMs, knownAtMs: nowMs + delayMs, requests });
    for (const { parts, isBad, instance, attempt, beginsAtMs } of requests) {
      if (!isBad && beginsAtMs <= nowMs) brokenOff += 1;
      if (isBad && attempt < scenario.maxAttempts) send(instance, parts, attempt + 1);
    }
  };

  const decide = ({ serverId, region, atMs, requests }: Undecided): void => {
    for (const { parts, instance, sentAtMs, beginsAtMs, trial } of requests) {
      const answeredForMs = beginsAtMs <= atMs ? atMs - beginsAtMs : undefined;
      instances[instance]?.recordCrash(
        requestOf(parts),
        {
          serverId,
          failureDomain: `d-${region}`,
          atMs,
          sentAtMs,
          answeredForMs,
          trial,
        },
        REGION_NAMES,
      );
    }
  };

  const serve = (server: SimulatedServer): void => {
    const nowMs = clock.monotonicMs();
    for (const request of server.requests) {
      if (request.trial !== undefined && nowMs - request.beginsAtMs > SURVIVED_MS) {
        request.trial.recordSurvived();
        request.trial.end();
        request.trial = undefined;
      }
      if (request.endsAtMs <= nowMs) {
        instances[request.instance]?.recordAnswered(requestOf(request.parts));
      }
    }
    Object.assign(server, { requests: server.requests.filter(({ endsAtMs }) => endsAtMs > nowMs) });
    const culprit = server.requests.find(({ isBad, beginsAtMs }) => isBad && beginsAtMs <= nowMs);
    if (culprit === undefined) return;
    const part = crashingParts.find((each) => culprit.parts.includes(each)) ?? '';
    crashAtMs.get(part)?.push(nowMs);
    crash(server);
  };

  const endMs = CALM_MS + scenario.seconds * MS_PER_S;
  for (let nowMs = STEP_MS; nowMs <= endMs; nowMs += STEP_MS) {
    clock.advanceTo(nowMs);
    const isCalm = nowMs < CALM_MS;
    if (random.next() < (scenario.requestsPerS * STEP_MS) / MS_PER_S) {
      const kind = Math.floor(random.next() / Math.max(scenario.share, Number.EPSILON));
      const bad = isCalm ? undefined : crashingParts[kind];
      const subject = `c${pickIndex(random, SUBJECTS)}`;
      const parts = [SYSTEM_PART, ...(bad === undefined ? [] : [bad]), subject];
      if (!isCalm || scenario.share * crashingParts.length < 1) {
        send(pickIndex(random, INSTANCES), parts, 1);
      }
    }
    const { otherCrashEveryMs = Infinity } = scenario;
    if (!isCalm && nowMs % otherCrashEveryMs === 0) {
      const up = servers.filter(({ upAtMs }) => upAtMs <= nowMs);
      const server = up[pickIndex(random, up.length)];
      if (server !== undefined) crash(server);
    }
    for (const server of servers) serve(server);
    while (undecided.some(({ knownAtMs }) => knownAtMs <= nowMs)) {
      const at = undecided.findIndex(({ knownAtMs }) => knownAtMs <= nowMs);
      for (const known of undecided.splice(at, 1)) decide(known);
    }
  }
  for (const causes of instances) causes[Symbol.dispose]();
  return {
    crashes,
    late: Math.max(0, ...lateByPart.values()),
    brokenOff,
    sound,
    soundRefused,
    longestRefusalMs,
  };
}
