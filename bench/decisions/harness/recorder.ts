import { createClassRecorder, recordMs, toClassResult } from './results';
import type { ClassRecorder, RunResult } from './results';
import type { CallerSpec, Scenario } from './types';
import type { FakeServer } from './fake-server';

/** One request as its caller sees it, over all its tries. */
export interface CallerRequest {
  readonly caller: CallerSpec;
  readonly firstArrivedAtMs: number;
}

/** Takes down what happens in a run. */
export interface Recorder {
  offered(request: CallerRequest): void;
  sent(request: CallerRequest, waitMs: number): void;
  firstToken(request: CallerRequest, nowMs: number): void;
  answered(request: CallerRequest, triedAtMs: number, nowMs: number, region: string): void;
  refused(request: CallerRequest, delayMs: number, wasAvoidable: boolean): void;
  expired(request: CallerRequest): void;
  serverCrashed(fingerprint: string): void;
  prefixRecomputed(tokens: number, nowMs: number): void;
  result(policy: string, servers: readonly FakeServer[]): RunResult;
}

const MS_PER_SECOND = 1000;

/** A recorder of a run of `scenario`; requests that arrive during the warm-up are passed over. */
export function createRecorder(scenario: Scenario): Recorder {
  const seconds = Math.ceil((scenario.durationMs + scenario.drainMs) / MS_PER_SECOND) + 1;
  const classes = new Map<string, ClassRecorder>();
  const crashes = new Map<string, number>();
  const answeredBySecond = new Array<number>(seconds).fill(0);
  const remoteAnswers = new Array<number>(seconds).fill(0);
  const recomputedBySecond = new Array<number>(seconds).fill(0);

  const addIn = (
    second: number,
    amounts: { answered?: number; remote?: number; recomputed?: number },
  ) => {
    if (second >= seconds) return;
    answeredBySecond[second] = (answeredBySecond[second] ?? 0) + (amounts.answered ?? 0);
    remoteAnswers[second] = (remoteAnswers[second] ?? 0) + (amounts.remote ?? 0);
    recomputedBySecond[second] = (recomputedBySecond[second] ?? 0) + (amounts.recomputed ?? 0);
  };
  const secondOf = (nowMs: number) => Math.floor(nowMs / MS_PER_SECOND);
  const recorderOf = ({ caller }: CallerRequest): ClassRecorder => {
    const recorder = classes.get(caller.className) ?? createClassRecorder();
    classes.set(caller.className, recorder);
    return recorder;
  };
  const isCounted = (request: CallerRequest) => request.firstArrivedAtMs >= scenario.warmUpMs;

  return {
    offered(request) {
      if (isCounted(request)) recorderOf(request).offered += 1;
    },
    sent(request, waitMs) {
      if (!isCounted(request)) return;
      const recorder = recorderOf(request);
      recorder.attempts += 1;
      recorder.longestWaitMs = Math.max(recorder.longestWaitMs, waitMs);
    },
    firstToken(request, nowMs) {
      if (!isCounted(request)) return;
      recordMs(recorderOf(request).firstToken, nowMs - request.firstArrivedAtMs);
    },
    answered(request, triedAtMs, nowMs, region) {
      const isRemote = region !== request.caller.homeRegion;
      addIn(secondOf(nowMs), { answered: 1, remote: isRemote ? 1 : 0 });
      if (!isCounted(request)) return;
      const recorder = recorderOf(request);
      recorder.answered += 1;
      if (isRemote) recorder.remote += 1;
      recordMs(recorder.latency, nowMs - request.firstArrivedAtMs);
      recordMs(recorder.admittedLatency, nowMs - triedAtMs);
    },
    refused(request, delayMs, wasAvoidable) {
      if (!isCounted(request)) return;
      const recorder = recorderOf(request);
      recorder.refused += 1;
      if (wasAvoidable) recorder.avoidableRefusals += 1;
      recordMs(recorder.refusalDelay, delayMs);
    },
    expired(request) {
      if (isCounted(request)) recorderOf(request).expired += 1;
    },
    serverCrashed: (fingerprint) => crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1),
    prefixRecomputed: (tokens, nowMs) => addIn(secondOf(nowMs), { recomputed: tokens }),
    result(policy, servers) {
      const countedMs = scenario.durationMs - scenario.warmUpMs;
      const classResults = [...classes]
        .sort(([left], [right]) => left.localeCompare(right))
        .map(([name, recorder]) => [name, toClassResult(name, recorder, countedMs)] as const);
      const sum = (pick: (recorder: ClassRecorder) => number) =>
        [...classes.values()].reduce((total, recorder) => total + pick(recorder), 0);
      const answered = sum((recorder) => recorder.answered);
      const offered = sum((recorder) => recorder.offered);
      const allAnswered = answeredBySecond.reduce((total, count) => total + count, 0);
      const busyMs = servers.reduce((total, server) => total + server.counts.busyMs, 0);
      return {
        scenario: scenario.name,
        policy,
        classes: new Map(classResults),
        answered,
        answeredPerSecond: answered / (countedMs / MS_PER_SECOND),
        offered,
        remoteShare: answered === 0 ? 0 : sum((recorder) => recorder.remote) / answered,
        attemptsPerRequest: offered === 0 ? 0 : sum((recorder) => recorder.attempts) / offered,
        avoidableRefusals: sum((recorder) => recorder.avoidableRefusals),
        prefillTokens: servers.reduce((total, { counts }) => total + counts.prefillTokens, 0),
        recomputedPrefixTokens: servers.reduce(
          (total, { counts }) => total + counts.recomputedPrefixTokens,
          0,
        ),
        engineSecondsPerAnswer: allAnswered === 0 ? 0 : busyMs / MS_PER_SECOND / allAnswered,
        crashesByFingerprint: crashes,
        answeredBySecond,
        recomputedBySecond,
        remoteBySecond: remoteAnswers.map((remote, second) => {
          const all = answeredBySecond[second] ?? 0;
          return all === 0 ? 0 : remote / all;
        }),
      };
    },
  };
}

/** Answers between two times of a run, a second; what a saturated fleet got done. */
export function answersPerSecondBetween(
  result: RunResult,
  fromMs: number,
  untilMs: number,
): number {
  const first = Math.ceil(fromMs / MS_PER_SECOND);
  const last = Math.floor(untilMs / MS_PER_SECOND);
  const counted = result.answeredBySecond.slice(first, last);
  return counted.reduce((total, count) => total + count, 0) / (last - first);
}
