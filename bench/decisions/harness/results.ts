import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** What callers got in one run, by class of caller, and what it cost. */

/** Quantiles of one kind of time, ms. */
export interface Quantiles {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly count: number;
}

/** What the callers of one class got. */
export interface ClassResult {
  readonly className: string;
  /** Requests as callers see them; a caller's tries at one of them count once. */
  readonly offered: number;
  /** Answered before the deadline of the try that brought the answer. */
  readonly answered: number;
  readonly answeredPerSecond: number;
  /** From the first try to the end of the answer. */
  readonly latency: Quantiles;
  /** From the try that was let in to the end of its answer. */
  readonly admittedLatency: Quantiles;
  readonly firstToken: Quantiles;
  /** Refusals, counted for each try, and the time from a try's arrival to its refusal. */
  readonly refused: number;
  readonly refusalDelay: Quantiles;
  /** Refused while some server in the request's regions could have begun it at once. */
  readonly avoidableRefusals: number;
  /** Deadline passed without answer or refusal. */
  readonly expired: number;
  /** Share of answers given by a server outside the home region. */
  readonly remoteShare: number;
  /** Attempts at servers for each request offered. */
  readonly attemptsPerRequest: number;
  /** Longest time from arrival to the first send to a server, ms. */
  readonly longestWaitMs: number;
}

/** Everything that one policy gave in one scenario. */
export interface RunResult {
  readonly scenario: string;
  readonly policy: string;
  readonly classes: ReadonlyMap<string, ClassResult>;
  readonly answered: number;
  readonly answeredPerSecond: number;
  readonly offered: number;
  readonly remoteShare: number;
  readonly attemptsPerRequest: number;
  readonly avoidableRefusals: number;
  readonly prefillTokens: number;
  readonly recomputedPrefixTokens: number;
  readonly engineSecondsPerAnswer: number;
  /** Crashes caused by requests, by the request's fingerprint. */
  readonly crashesByFingerprint: ReadonlyMap<string, number>;
  /** Answers in each second of the run, for what has to hold over time. */
  readonly answeredBySecond: readonly number[];
  /** Prefix tokens computed again in each second of the run. */
  readonly recomputedBySecond: readonly number[];
  /** Share of answers from outside the home region in each second of the run. */
  readonly remoteBySecond: readonly number[];
}

/** Histograms hold tenths of a ms. */
const UNITS_PER_MS = 10;

/** Numbers of one class while a run goes on. */
export interface ClassRecorder {
  offered: number;
  answered: number;
  refused: number;
  avoidableRefusals: number;
  expired: number;
  remote: number;
  attempts: number;
  longestWaitMs: number;
  latency: Histogram;
  admittedLatency: Histogram;
  firstToken: Histogram;
  refusalDelay: Histogram;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e9,
    numberOfSignificantValueDigits: 3,
  });
}

/** Records a time. */
export function recordMs(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(0, Math.round(ms * UNITS_PER_MS)));
}

function toQuantiles(histogram: Histogram): Quantiles {
  return {
    p50Ms: histogram.getValueAtPercentile(50) / UNITS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / UNITS_PER_MS,
    count: histogram.totalCount,
  };
}

/** A recorder at zero. */
export function createClassRecorder(): ClassRecorder {
  return {
    offered: 0,
    answered: 0,
    refused: 0,
    avoidableRefusals: 0,
    expired: 0,
    remote: 0,
    attempts: 0,
    longestWaitMs: 0,
    latency: createHistogram(),
    admittedLatency: createHistogram(),
    firstToken: createHistogram(),
    refusalDelay: createHistogram(),
  };
}

/** The recorder's numbers over `countedMs` of arrivals. */
export function toClassResult(
  className: string,
  recorder: ClassRecorder,
  countedMs: number,
): ClassResult {
  return {
    className,
    offered: recorder.offered,
    answered: recorder.answered,
    answeredPerSecond: recorder.answered / (countedMs / 1000),
    latency: toQuantiles(recorder.latency),
    admittedLatency: toQuantiles(recorder.admittedLatency),
    firstToken: toQuantiles(recorder.firstToken),
    refused: recorder.refused,
    refusalDelay: toQuantiles(recorder.refusalDelay),
    avoidableRefusals: recorder.avoidableRefusals,
    expired: recorder.expired,
    remoteShare: recorder.answered === 0 ? 0 : recorder.remote / recorder.answered,
    attemptsPerRequest: recorder.offered === 0 ? 0 : recorder.attempts / recorder.offered,
    longestWaitMs: recorder.longestWaitMs,
  };
}

/** A class by name; a scenario that asks for one it has not is a mistake. */
export function classOf(result: RunResult, className: string): ClassResult {
  const found = result.classes.get(className);
  if (found === undefined) throw new Error(`No class ${className} in ${result.scenario}`);
  return found;
}
