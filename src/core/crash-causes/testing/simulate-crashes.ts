import { createSeededRandom, pickIndex } from '../../random';
import type { RandomSource } from '../../random';
import { createCauseLedger } from '../cause-ledger';
import { createPartHistory } from '../part-history';

/** Simulates servers of one service that crash, as one instance sees them that gets all requests. */

/** What the requests of a simulation hold, and why servers crash. */
export interface CrashScenario {
  readonly servers: number;
  readonly soundPerS: number;
  /** Requests a second with each crashing part. */
  readonly badPerS: number;
  readonly crashingParts: readonly string[];
  /** Crashes a second for causes other than requests. */
  readonly otherCrashesPerS: number;
  /** Time at which so many servers of one failure domain lose power at once; none by default. */
  readonly powerLossAtMs?: number;
  readonly seconds: number;
  /** Seconds before crashes begin, in which answers are recorded; 0 if all instances have just started. */
  readonly calmSeconds: number;
  readonly seed: number;
}

/** What became of it. */
export interface CrashOutcome {
  /** Parts that were convicted at some time. */
  readonly convicted: ReadonlySet<string>;
  /** Servers that ended under each crashing part. */
  readonly crashesByPart: ReadonlyMap<string, number>;
  /** Requests with a crashing part that reached servers later than 5 s after its fifth crash, by part. */
  readonly lateByPart: ReadonlyMap<string, number>;
}

interface OpenRequest {
  readonly parts: readonly string[];
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
  /** The part on which the server crashes when the answer begins. */
  readonly crashingPart: string | undefined;
}

interface SimulatedServer {
  id: string;
  readonly failureDomain: string;
  upAtMs: number;
  requests: OpenRequest[];
}

const STEP_MS = 5;
const MS_PER_S = 1_000;
const RESTART_MS = 2_500;
const PREFILL_MS = 40;
const MIN_ANSWER_MS = 300;
const MAX_ANSWER_MS = 2_000;
const FRESH_MS = 250;
const SETTLE_MS = 150;
const FAILURE_DOMAINS = 3;
const SESSIONS = 200;
const SYSTEM_PART = 'system';
const ALLOWED_AFTER_MS = 5_000;
const FIFTH = 5;

function happens(random: RandomSource, perS: number): boolean {
  return random.next() < (perS * STEP_MS) / MS_PER_S;
}

/** Runs a simulation. */
export function simulateCrashes(scenario: CrashScenario): CrashOutcome {
  const { crashingParts, calmSeconds, seed } = scenario;
  const random = createSeededRandom(seed);
  const history = createPartHistory();
  const ledger = createCauseLedger(history);
  const crashAtMs = new Map<string, number[]>(crashingParts.map((part) => [part, []]));
  const lateByPart = new Map<string, number>(crashingParts.map((part) => [part, 0]));
  const convicted = new Set<string>();
  const judgeAtMs: number[] = [];
  let starts = 0;
  const servers: SimulatedServer[] = Array.from({ length: scenario.servers }, (_unused, index) => ({
    id: `s-${index}`,
    failureDomain: `d-${index % FAILURE_DOMAINS}`,
    upAtMs: 0,
    requests: [],
  }));

  const crash = (server: SimulatedServer, nowMs: number): void => {
    const fresh = server.requests.filter(({ beginsAtMs }) => beginsAtMs + FRESH_MS > nowMs);
    const parts = new Set(fresh.flatMap((request) => request.parts));
    ledger.recordCrash(
      'here',
      {
        serverId: server.id,
        failureDomain: server.failureDomain,
        atMs: nowMs,
        requests: fresh.length,
        parts: [...parts].map((part) => ({ part, share: history.shareOf(part, nowMs) })),
        triedParts: [],
      },
      nowMs,
    );
    judgeAtMs.push(nowMs + SETTLE_MS);
    starts += 1;
    Object.assign(server, { id: `start-${starts}`, upAtMs: nowMs + RESTART_MS, requests: [] });
  };

  const send = (parts: readonly string[], nowMs: number, crashingPart?: string): void => {
    if (parts.some((part) => ledger.convictionOf(part, nowMs) !== undefined)) return;
    const up = servers.filter(({ upAtMs }) => upAtMs <= nowMs);
    const server = up[pickIndex(random, up.length)];
    if (server === undefined) return;
    history.recordSent(parts, nowMs);
    const beginsAtMs = nowMs + PREFILL_MS * (0.5 + random.next());
    const answerMs = MIN_ANSWER_MS + random.next() * (MAX_ANSWER_MS - MIN_ANSWER_MS);
    server.requests.push({ parts, beginsAtMs, endsAtMs: beginsAtMs + answerMs, crashingPart });
    const fifthAtMs = crashAtMs.get(crashingPart ?? '')?.[FIFTH - 1] ?? Infinity;
    if (crashingPart !== undefined && nowMs > fifthAtMs + ALLOWED_AFTER_MS) {
      lateByPart.set(crashingPart, (lateByPart.get(crashingPart) ?? 0) + 1);
    }
  };

  const answer = (server: SimulatedServer, nowMs: number): void => {
    for (const request of server.requests.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      history.countAnswer(nowMs);
      for (const part of request.parts) ledger.recordAnswered(part, nowMs);
    }
    Object.assign(server, { requests: server.requests.filter(({ endsAtMs }) => endsAtMs > nowMs) });
  };

  const endMs = (calmSeconds + scenario.seconds) * MS_PER_S;
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    const isCalm = nowMs < calmSeconds * MS_PER_S;
    const session = () => `session-${pickIndex(random, SESSIONS)}`;
    if (happens(random, scenario.soundPerS)) send([SYSTEM_PART, session()], nowMs);
    for (const part of isCalm ? [] : crashingParts) {
      if (happens(random, scenario.badPerS)) send([SYSTEM_PART, part, session()], nowMs, part);
    }
    for (const server of servers) {
      answer(server, nowMs);
      const culprit = server.requests.find(
        ({ crashingPart, beginsAtMs }) => crashingPart !== undefined && beginsAtMs <= nowMs,
      );
      const isUp = server.upAtMs <= nowMs;
      const losesPower = scenario.powerLossAtMs === nowMs && server.failureDomain === 'd-0';
      const isOther = !isCalm && happens(random, scenario.otherCrashesPerS / servers.length);
      if (culprit?.crashingPart !== undefined) {
        crashAtMs.get(culprit.crashingPart)?.push(nowMs);
        crash(server, nowMs);
      } else if (isUp && (losesPower || isOther)) crash(server, nowMs);
    }
    while (judgeAtMs[0] !== undefined && judgeAtMs[0] <= nowMs) {
      judgeAtMs.shift();
      for (const { part } of ledger.findCauses(nowMs)) convicted.add(part);
    }
  }
  return {
    convicted,
    crashesByPart: new Map([...crashAtMs].map(([part, times]) => [part, times.length])),
    lateByPart,
  };
}
