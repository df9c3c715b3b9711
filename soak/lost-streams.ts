import { hasEvent } from './stream-versions';
import type {
  BrittleTime,
  BrokenPromise,
  CallerAttempt,
  InstanceLoss,
  ServingTime,
  StoreTrouble,
  VersionCounts,
} from './types';

/** Checks that streams which broke off when all instances were ended go on, where one version has served all along. */

/** Streams that broke off in losses of all instances and that their callers took up. */
export interface LostStreamTally {
  /** Streams of runs with one version that must go on, and those that did. */
  readonly takenUp: number;
  readonly wentOn: number;
  /** All that were answered when they were taken up, whatever else went wrong, and those that went on. */
  readonly answered: number;
  readonly answeredWentOn: number;
  /** First requests of the streams that must go on and did not. */
  readonly missing: readonly string[];
}

/** What is recorded of a run. */
export interface LostStreamRecord {
  /** Attempts of callers that take up what broke off, in order of their ends. */
  readonly attempts: readonly CallerAttempt[];
  readonly losses: readonly InstanceLoss[];
  readonly storeTroubles: readonly StoreTrouble[];
  readonly servingTimes: readonly ServingTime[];
  readonly brittleTimes: readonly BrittleTime[];
  readonly versionCounts: readonly VersionCounts[];
}

/** Minimum share of the streams that go on. */
const MIN_SHARE = 0.9;
/** Minimum streams from which their share is judged. */
const MIN_TAKEN_UP = 12;
/** Minimum servers that take requests meanwhile. */
const MIN_SERVERS = 2;
/** Time for which a server must have taken requests before it counts, ms. */
const SETTLED_MS = 1_000;

interface Span {
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** A stream that broke off in a loss of all instances, with the attempts to take it up. */
interface LostStream {
  readonly firstRequestId: string;
  readonly span: Span;
  readonly isAnswered: boolean;
  readonly hasGoneOn: boolean;
}

const overlaps = (left: Span, right: Span): boolean =>
  left.fromMs <= right.toMs && right.fromMs <= left.toMs;

const firstOf = ({ requestId, takesUp }: CallerAttempt): string =>
  takesUp?.firstRequestId ?? requestId;

/** Returns the attempts of each stream in order. */
function byStream(attempts: readonly CallerAttempt[]): readonly (readonly CallerAttempt[])[] {
  const streams = new Map<string, CallerAttempt[]>();
  for (const attempt of attempts) {
    if (attempt.kind !== 'stream') continue;
    const some = streams.get(firstOf(attempt)) ?? [];
    some.push(attempt);
    streams.set(firstOf(attempt), some);
  }
  return [...streams.values()];
}

/** Returns each time at which a stream broke off in a loss of all instances and was taken up. */
function lostParts(tries: readonly CallerAttempt[], losses: readonly InstanceLoss[]): LostStream[] {
  return tries.flatMap((brokenOff, index) => {
    const { endedAtMs } = brokenOff;
    const isLost = losses.some(
      ({ isOfAll, fromMs, toMs }) => isOfAll && fromMs <= endedAtMs && endedAtMs <= toMs,
    );
    if (!hasEvent(brokenOff) || !isLost) return [];
    const later = tries.slice(index + 1);
    const wentOnAt = later.findIndex(hasEvent);
    const own = wentOnAt === -1 ? later : later.slice(0, wentOnAt + 1);
    const last = own.at(-1);
    if (last === undefined) return [];
    return [
      {
        firstRequestId: firstOf(brokenOff),
        span: { fromMs: endedAtMs, toMs: last.endedAtMs },
        isAnswered: own.some(({ status }) => status !== undefined),
        hasGoneOn: wentOnAt !== -1,
      },
    ];
  });
}

/** Counts the streams of a run that broke off in losses of all instances. */
export function tallyLostStreams(record: LostStreamRecord): LostStreamTally {
  const { losses, storeTroubles, servingTimes, brittleTimes, versionCounts } = record;
  const versions = new Set(versionCounts.flatMap(({ counts }) => [...counts.keys()]));
  const lost = byStream(record.attempts)
    .flatMap((tries) => lostParts(tries, losses))
    .filter(({ isAnswered }) => isAnswered);

  /** Whether enough servers take requests at a time, and have for a while. */
  const isServedAt = (atMs: number): boolean =>
    servingTimes.filter(({ fromMs, toMs }) => fromMs + SETTLED_MS <= atMs && atMs < toMs).length >=
    MIN_SERVERS;
  const isServed = ({ fromMs, toMs }: Span): boolean => {
    const ends = servingTimes.map((time) => time.toMs);
    return [fromMs, ...ends.filter((atMs) => fromMs < atMs && atMs <= toMs)].every(isServedAt);
  };
  const mustGoOn = ({ span }: LostStream): boolean =>
    versions.size === 1 &&
    !storeTroubles.some((time) => overlaps(time, span)) &&
    !brittleTimes.some((time) => overlaps(time, span)) &&
    isServed(span);

  const judged = lost.filter(mustGoOn);
  const wentOn = (some: readonly LostStream[]) => some.filter(({ hasGoneOn }) => hasGoneOn).length;
  return {
    takenUp: judged.length,
    wentOn: wentOn(judged),
    answered: lost.length,
    answeredWentOn: wentOn(lost),
    missing: judged
      .filter(({ hasGoneOn }) => !hasGoneOn)
      .map(({ firstRequestId }) => firstRequestId),
  };
}

/** Checks that nearly all streams that must go on do. */
export function checkLostStreams(tally: LostStreamTally): readonly BrokenPromise[] {
  const { takenUp, wentOn, missing } = tally;
  if (takenUp < MIN_TAKEN_UP || wentOn >= takenUp * MIN_SHARE) return [];
  const detail = `${wentOn} of ${takenUp} went on after a loss of all instances, with one version`;
  return [{ promise: 'refusedInVain', requestId: missing[0] ?? '', detail }];
}
