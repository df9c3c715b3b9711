import { isWithinQuota } from './accounts';
import { DEADLINE_MS, isAnswered, isCut } from './callers';
import type {
  BrittleTime,
  BrokenPromise,
  CallerAttempt,
  FailedAnswer,
  InstanceInterruption,
  ServerArrival,
  ServerEnd,
  ServerRun,
  ServingTime,
  SilencedRequest,
  SilentServer,
  Standstill,
} from './types';

/** Checks what became of requests while servers stood still, and of those at servers that fell silent for good. */

/** Standard deviations of a random draw by which fewer streams of a kind may be served. */
const CHANCE_DEVIATIONS = 3;
/** Minimum streams of either kind from which their shares are compared. */
const MIN_STREAMS = 20;
/** Maximum share of the requests at silent servers that get no whole answer in time. */
const MAX_MISSING_SHARE = 0.1;
/** Requests at silent servers that may miss a whole answer however few there are. */
const MIN_MISSING = 1;
/** Time for which a server must have taken requests before it counts, ms: the instances have heard of it by then. */
const SETTLED_MS = 1_000;

/** What is recorded of a run. */
export interface SilenceRecord {
  readonly attempts: readonly CallerAttempt[];
  readonly runs: readonly ServerRun[];
  /** Requests that servers have read, whether or not they ran. */
  readonly arrivals: readonly ServerArrival[];
  readonly standstills: readonly Standstill[];
  readonly silentServers: readonly SilentServer[];
  readonly failedAnswers: readonly FailedAnswer[];
  readonly ends: readonly ServerEnd[];
  readonly servingTimes: readonly ServingTime[];
  readonly brittleTimes: readonly BrittleTime[];
  /** Times in which instances were stopped or cut off, and moments at which they were killed. */
  readonly interruptions: readonly InstanceInterruption[];
  /** Returns the instances that a request passed through. */
  readonly instancesOf: (attempt: CallerAttempt) => readonly number[];
}

interface Span {
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

interface Share {
  readonly count: number;
  readonly answered: number;
}

/** Requests while servers stood still, and at servers that fell silent. */
export interface SilenceTally {
  /** Requests at servers that only stood still, and those of them that were cut off. */
  readonly stood: number;
  readonly cut: readonly CutRequest[];
  /** Streams while servers stood still, and those that were served: such that may be resumed, and others. */
  readonly resumable: Share;
  readonly others: Share;
  /** Requests at silent servers that another server could have answered, and those with a whole answer in time. */
  readonly silenced: Share & { readonly missing: readonly string[] };
}

/** The numbers of a tally, as they are reported. */
export interface SilenceFigures {
  readonly stood: number;
  readonly cut: number;
  readonly resumable: Share;
  readonly others: Share;
  readonly silenced: Share;
}

/** Returns the numbers of a tally. */
export function silenceFigures({ silenced, cut, ...rest }: SilenceTally): SilenceFigures {
  const { count, answered } = silenced;
  return { ...rest, cut: cut.length, silenced: { count, answered } };
}

/** A request whose answer was cut off at a server that only stood still. */
export interface CutRequest {
  readonly requestId: string;
  /** Identifies the start of the server. */
  readonly server: string;
  readonly status: number | undefined;
  /** Time from the request to the end of its answer, ms. */
  readonly afterMs: number;
}

const overlaps = (left: Span, right: Span): boolean =>
  left.fromMs <= right.toMs && right.fromMs <= left.toMs;

const spanOf = ({ atMs, endedAtMs }: CallerAttempt): Span => ({ fromMs: atMs, toMs: endedAtMs });

/** Groups items by a key. */
function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? [];
    group.push(item);
    groups.set(keyOf(item), group);
  }
  return groups;
}

/** Returns the share of the answered ones. */
function shareOf(attempts: readonly CallerAttempt[], isServed = isAnswered): Share {
  return { count: attempts.length, answered: attempts.filter(isServed).length };
}

/** Whether a caller got a whole answer within its deadline. */
function isAnsweredInTime(attempt: CallerAttempt): boolean {
  return isAnswered(attempt) && attempt.endedAtMs <= attempt.atMs + DEADLINE_MS;
}

/** Counts the requests of a run that servers' silences struck. */
export function tallySilence(record: SilenceRecord): SilenceTally {
  const { attempts, standstills, silentServers, servingTimes, brittleTimes } = record;
  const runsOf = groupBy(record.runs, ({ requestId }) => requestId);
  const arrivalsOf = groupBy(record.arrivals, ({ requestId }) => requestId);
  const failuresOf = groupBy(record.failedAnswers, ({ requestId }) => requestId);
  const standstillsOf = groupBy(standstills, ({ server }) => server);
  const endOf = new Map(record.ends.map(({ server, atMs }) => [server, atMs]));
  const silentSince = new Map(silentServers.map(({ server, fromMs }) => [server, fromMs]));

  const isUndisturbed = (attempt: CallerAttempt): boolean => {
    const instances = record.instancesOf(attempt);
    return (
      !attempt.hasLeft &&
      !record.interruptions.some(
        (time) => instances.includes(time.instance) && overlaps(time, spanOf(attempt)),
      )
    );
  };

  /** Returns when the server of a run ended, fell silent for good, or broke the answer off; undefined if it did not. */
  const lossAtMs = ({ requestId, server }: ServerRun): number | undefined => {
    const brokenOff = (failuresOf.get(requestId) ?? []).find(
      (failure) => failure.kind === 'brokenOff' && failure.server === server,
    );
    const times = [endOf.get(server), silentSince.get(server), brokenOff?.atMs];
    const known = times.filter((atMs) => atMs !== undefined);
    return known.length === 0 ? undefined : Math.min(...known);
  };

  /** Whether a server lost the answer, and no other one had the request from then on. */
  const wasLost = ({ requestId, endedAtMs }: CallerAttempt): boolean => {
    const runs = runsOf.get(requestId) ?? [];
    const lastAtMs = Math.max(...runs.map(({ atMs }) => atMs));
    return runs.some((run) => {
      const lostAtMs = lossAtMs(run) ?? Infinity;
      return lostAtMs <= endedAtMs && (lostAtMs >= lastAtMs || run.atMs === lastAtMs);
    });
  };

  /**
   * Whether a stream was served as far as its server let it be. If those that servers broke off were left out, the kind that
   * they break off more often would seem to be refused more often.
   */
  const isServed = (attempt: CallerAttempt): boolean => isAnswered(attempt) || wasLost(attempt);

  /** Returns the server that stood still with a request of this attempt; undefined if none did. */
  const standingServer = ({ requestId, endedAtMs }: CallerAttempt): string | undefined =>
    (runsOf.get(requestId) ?? []).find(({ server, atMs }) =>
      (standstillsOf.get(server) ?? []).some((time) =>
        overlaps(time, { fromMs: atMs, toMs: endedAtMs }),
      ),
    )?.server;

  const undisturbed = attempts.filter(isUndisturbed);
  const sound = undisturbed.filter((attempt) => !wasLost(attempt));
  const stood = sound.flatMap((attempt) => {
    const server = standingServer(attempt);
    return server === undefined ? [] : [{ attempt, server }];
  });
  const streams = undisturbed.filter(
    (attempt) =>
      attempt.kind === 'stream' &&
      attempt.takesUp === undefined &&
      attempt.status !== undefined &&
      isWithinQuota(attempt.key) &&
      standstills.some((time) => overlaps(time, spanOf(attempt))),
  );

  /** Whether another server of the region could take a request of a silent server for the whole time. */
  const hasOtherServer = (
    fallen: SilentServer,
    { sinceMs, hasBegun }: SilencedRequest,
    { atMs, endedAtMs, takesUp }: CallerAttempt,
  ): boolean => {
    const needed = {
      fromMs: Math.max(fallen.fromMs, sinceMs),
      toMs: Math.min(endedAtMs, atMs + DEADLINE_MS),
    };
    const isBound = hasBegun || takesUp !== undefined;
    return (
      !brittleTimes.some((time) => overlaps(time, needed)) &&
      servingTimes.some(
        ({ server, region, softwareVersion, fromMs, toMs }) =>
          server !== fallen.server &&
          region === fallen.region &&
          (!isBound || softwareVersion === fallen.softwareVersion) &&
          fromMs + SETTLED_MS <= needed.fromMs &&
          toMs >= needed.toMs,
      )
    );
  };

  const attemptOf = new Map(undisturbed.map((attempt) => [attempt.requestId, attempt]));
  const silenced = silentServers.flatMap((fallen) =>
    fallen.requests.flatMap((silencedRequest) => {
      const { requestId, sinceMs } = silencedRequest;
      const attempt = attemptOf.get(requestId);
      if (attempt === undefined || !(attempt.kind === 'idempotent' || attempt.isResumable)) {
        return [];
      }
      const earlier = (arrivalsOf.get(requestId) ?? []).filter(
        ({ server, atMs }) => server !== fallen.server && atMs <= sinceMs,
      );
      const mayBeSentAgain = earlier.length + 1 < attempt.maxAttempts;
      const hasFailedElsewhere = failuresOf.has(requestId);
      const isJudged =
        mayBeSentAgain && !hasFailedElsewhere && hasOtherServer(fallen, silencedRequest, attempt);
      return isJudged ? [attempt] : [];
    }),
  );
  return {
    stood: stood.length,
    cut: stood
      .filter(({ attempt }) => isCut(attempt) && attempt.endedAtMs < attempt.atMs + DEADLINE_MS)
      .map(({ attempt: { requestId, status, atMs, endedAtMs }, server }) => ({
        requestId,
        server,
        status,
        afterMs: endedAtMs - atMs,
      })),
    resumable: shareOf(
      streams.filter(({ isResumable }) => isResumable),
      isServed,
    ),
    others: shareOf(
      streams.filter(({ isResumable }) => !isResumable),
      isServed,
    ),
    silenced: {
      ...shareOf(silenced, isAnsweredInTime),
      missing: silenced
        .filter((attempt) => !isAnsweredInTime(attempt))
        .map(({ requestId }) => requestId),
    },
  };
}

/**
 * Returns how many fewer resumable streams may be served than the share of the others calls for. If streams of both kinds
 * were served alike, those that are not would be a random draw from all of them, so that the number varies as in a
 * hypergeometric distribution.
 */
function allowedByChance(resumable: Share, others: Share): number {
  const total = resumable.count + others.count;
  const share = (resumable.answered + others.answered) / total;
  const variance =
    resumable.count ** 2 * share * (1 - share) * (1 / resumable.count + 1 / others.count);
  return CHANCE_DEVIATIONS * Math.sqrt(variance);
}

/** Checks that answers of servers that stand still are not cut off, and that requests leave silent servers. */
export function checkSilence(tally: SilenceTally): readonly BrokenPromise[] {
  const { cut, resumable, others, silenced } = tally;
  const broken = cut.map(({ requestId, server, status, afterMs }): BrokenPromise => {
    const how = status === undefined || status === 200 ? 'closed' : String(status);
    const detail = `${how} after ${afterMs} ms, while ${server} only stood still`;
    return { promise: 'cutInSilence', requestId, detail };
  });
  if (resumable.count >= MIN_STREAMS && others.count >= MIN_STREAMS) {
    const expected = (resumable.count * others.answered) / others.count;
    if (resumable.answered < expected - allowedByChance(resumable, others)) {
      const detail = `${resumable.answered} of ${resumable.count}, others ${others.answered} of ${others.count}`;
      broken.push({ promise: 'resumableServedLess', requestId: '', detail });
    }
  }
  const { count, answered, missing } = silenced;
  const allowed = Math.max(MIN_MISSING, count * MAX_MISSING_SHARE);
  if (count - answered > allowed) {
    const detail = `${answered} of ${count} at silent servers, not ${missing.join(', ')}`;
    broken.push({ promise: 'leftAtSilentServer', requestId: missing[0] ?? '', detail });
  }
  return broken;
}
