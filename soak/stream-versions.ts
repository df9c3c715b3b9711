import { EVENTS_PER_STREAM, versionsIn } from './promises';
import type {
  BrokenPromise,
  CallerAttempt,
  InstanceLoss,
  TakenUpStream,
  VersionCounts,
} from './types';

/** Streams of a run that began, and that their callers took up. */
export interface StreamTally {
  /** Requests that were to begin a stream, and those that got its first event. */
  readonly asked: number;
  readonly begun: number;
  /** Streams that were taken up while several servers of their version took requests, and those that went on. */
  readonly takenUp: number;
  readonly wentOn: number;
  /** First requests of the streams that hold events of several versions. */
  readonly mixed: readonly string[];
}

/** Minimum streams that are taken up, from which their share is judged. */
const MIN_TAKEN_UP = 12;
/** Minimum share of the streams that go on, relative to the share of new ones that begin. */
const MIN_RELATIVE_SHARE = 0.5;
/** Minimum servers of a version without which its streams are not expected to go on. */
const MIN_SERVERS = 2;
/** Time for which so many servers must have taken requests, ms: the instances have heard of them by then. */
const SETTLED_MS = 1_000;

/** Whether an attempt brought a complete event of a stream. */
export const hasEvent = ({ status, body }: CallerAttempt): boolean =>
  status === 200 && versionsIn(body).length > 0;

/** Returns the stream that a caller takes up after an attempt; undefined if there is nothing to take up. */
export function takenUpAfter(attempt: CallerAttempt): TakenUpStream | undefined {
  const { requestId, takesUp } = attempt;
  if (!hasEvent(attempt) || attempt.isWhole) return undefined;
  const lastEventId = (takesUp?.lastEventId ?? 0) + versionsIn(attempt.body).length;
  if (lastEventId >= EVENTS_PER_STREAM) return undefined;
  return { firstRequestId: takesUp?.firstRequestId ?? requestId, lastEventId };
}

/** Returns whether several servers of a version have taken requests for a while. */
function isServed(version: string, atMs: number, history: readonly VersionCounts[]): boolean {
  const before = history.filter((counts) => counts.atMs <= atMs);
  const settled = before.filter((counts) => counts.atMs > atMs - SETTLED_MS);
  const atStart = before[before.length - settled.length - 1];
  return [...settled, ...(atStart === undefined ? [] : [atStart])].every(
    ({ counts }) => (counts.get(version) ?? 0) >= MIN_SERVERS,
  );
}

/** Whether an attempt found nobody, since its instance had been ended with all others of its region. */
function wasSentToLost(attempt: CallerAttempt, losses: readonly InstanceLoss[]): boolean {
  const { address, status, atMs, endedAtMs } = attempt;
  return (
    status === undefined &&
    losses.some(
      ({ addresses, fromMs, toMs }) =>
        addresses.includes(address) && fromMs <= endedAtMs && atMs <= toMs,
    )
  );
}

/** Identifies where a stream broke off; a caller may take it up there several times. */
function placeOf({ takesUp }: CallerAttempt): string {
  return `${takesUp?.firstRequestId} ${takesUp?.lastEventId}`;
}

/** Counts the streams of a run, each over all tries of its caller. */
export function tallyStreams(
  attempts: readonly CallerAttempt[],
  history: readonly VersionCounts[],
  losses: readonly InstanceLoss[] = [],
): StreamTally {
  const versionsOf = new Map<string, Set<string>>();
  for (const { requestId, takesUp, kind, body, status } of attempts) {
    if (kind !== 'stream' || status !== 200) continue;
    const first = takesUp?.firstRequestId ?? requestId;
    const versions = versionsOf.get(first) ?? new Set();
    versionsIn(body).forEach((version) => versions.add(version));
    versionsOf.set(first, versions);
  }
  const streams = attempts.filter(
    (attempt) => attempt.kind === 'stream' && !wasSentToLost(attempt, losses),
  );
  const askedAtMs = new Map(attempts.map(({ requestId, atMs }) => [requestId, atMs]));
  /** Whether all instances have been ended since a stream began, so that none may know its version. */
  const isForgotten = ({ takesUp, atMs }: CallerAttempt): boolean => {
    const begunAtMs = askedAtMs.get(takesUp?.firstRequestId ?? '') ?? atMs;
    return losses.some(
      ({ isOfAll, fromMs, toMs }) => isOfAll && begunAtMs <= toMs && fromMs <= atMs,
    );
  };
  const asked = streams.filter(({ takesUp }) => takesUp === undefined);
  const takenUp = streams.filter((attempt) => {
    const { takesUp, atMs } = attempt;
    const [version] = versionsOf.get(takesUp?.firstRequestId ?? '') ?? [];
    return (
      takesUp !== undefined &&
      version !== undefined &&
      isServed(version, atMs, history) &&
      !isForgotten(attempt)
    );
  });
  return {
    asked: asked.length,
    begun: asked.filter(hasEvent).length,
    takenUp: new Set(takenUp.map(placeOf)).size,
    wentOn: new Set(takenUp.filter(hasEvent).map(placeOf)).size,
    mixed: [...versionsOf].filter(([, versions]) => versions.size > 1).map(([first]) => first),
  };
}

/** Checks that streams go on at the version that began them, and that those of a version that serves do go on. */
export function checkStreamVersions(tally: StreamTally): readonly BrokenPromise[] {
  const { asked, begun, takenUp, wentOn, mixed } = tally;
  const broken: BrokenPromise[] = [];
  if (mixed.length > 0) {
    const detail = `${mixed.length} streams hold events of several versions`;
    broken.push({ promise: 'mixedVersions', requestId: mixed[0] ?? '', detail });
  }
  const begunShare = begun / Math.max(1, asked);
  if (takenUp >= MIN_TAKEN_UP && wentOn / takenUp < begunShare * MIN_RELATIVE_SHARE) {
    const detail = `${wentOn} of ${takenUp} went on, ${begun} of ${asked} new ones began`;
    broken.push({ promise: 'notTakenUp', requestId: '', detail });
  }
  return broken;
}
