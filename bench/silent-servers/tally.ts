import { checkPromises } from '../../soak/promises';
import type { BrokenPromise, CallerAttempt, ServerRun } from '../../soak/types';
import type { BenchRequest } from './requests';

/** What a caller got. */
export type Outcome = 'whole' | 'cut' | 'failed' | 'refused' | 'other';

/** A request with its answer. */
export interface MeasuredRequest {
  readonly request: BenchRequest;
  readonly attempt: CallerAttempt;
  /** When parts of the answer's body arrived, Unix ms, in order. */
  readonly partsAtMs: readonly number[];
}

/** A silence of servers. */
export interface Silence {
  readonly serverIds: readonly string[];
  /** When it began, Unix ms. */
  readonly fromMs: number;
}

/** Requests by what their callers got, and what these requests cost. */
export interface Tally {
  readonly requests: number;
  readonly outcomes: Readonly<Record<Outcome, number>>;
  readonly runs: number;
  /** Requests that ran at more servers than their route allows. */
  readonly tooManyServers: number;
  /** Requests that may run once and ran more often. */
  readonly ranTwice: number;
  /** Streams whose events came twice, out of order or with a gap. */
  readonly corruptStreams: number;
  /** Other broken promises. */
  readonly broken: readonly BrokenPromise[];
}

/** Time for which callers waited at servers that are silent for good. */
export interface Waits {
  /** Requests that waited at such a server. */
  readonly requests: number;
  /** Time until the rest of each answer that arrived, ms, in ascending order. */
  readonly restAfterMs: readonly number[];
}

const OK = 200;
const REFUSED: ReadonlySet<number> = new Set([429, 503]);
const FAILED: ReadonlySet<number> = new Set([502, 504]);

/** Returns what a caller got. */
export function outcomeOf({ status, isWhole }: Pick<CallerAttempt, 'status' | 'isWhole'>): Outcome {
  if (status === undefined) return 'other';
  if (REFUSED.has(status)) return 'refused';
  if (FAILED.has(status)) return 'failed';
  if (status !== OK) return 'other';
  return isWhole ? 'whole' : 'cut';
}

function runsByRequest(runs: readonly ServerRun[]): ReadonlyMap<string, readonly ServerRun[]> {
  const byRequest = new Map<string, ServerRun[]>();
  for (const run of runs) {
    const some = byRequest.get(run.requestId) ?? [];
    some.push(run);
    byRequest.set(run.requestId, some);
  }
  return byRequest;
}

/** Counts requests, and the broken promises among them. */
export function tally(measured: readonly MeasuredRequest[], runs: readonly ServerRun[]): Tally {
  const outcomes = { whole: 0, cut: 0, failed: 0, refused: 0, other: 0 };
  const byRequest = runsByRequest(runs);
  let runCount = 0;
  let ranTwice = 0;
  for (const { request, attempt } of measured) {
    const own = byRequest.get(request.requestId)?.length ?? 0;
    outcomes[outcomeOf(attempt)] += 1;
    runCount += own;
    if (!request.of.isRepeatable && own > 1) ranTwice += 1;
  }
  const broken = checkPromises(
    measured.map(({ attempt }) => attempt),
    runs,
  );
  const countOf = (promise: BrokenPromise['promise']) =>
    broken.filter((one) => one.promise === promise).length;
  const isShown = ({ promise }: BrokenPromise) =>
    promise === 'tooManyServers' || promise === 'ranTwice' || promise === 'corruptStream';
  return {
    requests: measured.length,
    outcomes,
    runs: runCount,
    tooManyServers: countOf('tooManyServers'),
    ranTwice,
    corruptStreams: countOf('corruptStream'),
    broken: broken.filter((one) => !isShown(one)),
  };
}

/**
 * Returns for how long callers waited at servers that are silent for good: from the begin of the silence, or from the
 * arrival of the request there, until the next part of the answer, which another server has sent.
 */
export function tallyWaits(
  measured: readonly MeasuredRequest[],
  runs: readonly ServerRun[],
  { serverIds, fromMs }: Silence,
): Waits {
  const byRequest = runsByRequest(runs);
  const restAfterMs: number[] = [];
  let requests = 0;
  for (const { request, attempt, partsAtMs } of measured) {
    const own = byRequest.get(request.requestId) ?? [];
    const silentRun = own.find(({ serverId }) => serverIds.includes(serverId));
    const otherRun = own.find(
      ({ serverId, atMs }) => atMs >= fromMs && !serverIds.includes(serverId),
    );
    const hadEnded = otherRun === undefined && outcomeOf(attempt) === 'whole';
    if (silentRun !== undefined && !hadEnded) {
      requests += 1;
      const restAtMs = partsAtMs.find((atMs) => otherRun !== undefined && atMs >= otherRun.atMs);
      const waitsFromMs = Math.max(fromMs, silentRun.atMs);
      if (restAtMs !== undefined) restAfterMs.push(restAtMs - waitsFromMs);
    }
  }
  return { requests, restAfterMs: restAfterMs.sort((left, right) => left - right) };
}
