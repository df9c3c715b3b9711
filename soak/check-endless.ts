import { PASS_THROUGH_EVENTS } from '../src/core/pass-through';
import { DEADLINE_MS, isCut } from './callers';
import type { LogLine } from './log-lines';
import type {
  BrokenPromise,
  CallerAttempt,
  EndlessRead,
  EndlessTime,
  FailedAnswer,
  InstanceEnd,
  InstanceInterruption,
  ServerRun,
  ServingTime,
} from './types';

/** Checks what became of requests while servers answered without end. */

/** Time after its deadline in which a caller must know what became of its request, ms. */
const MARGIN_MS = 1_000;
/** Time for which a server must have taken requests before it counts, ms. */
const SETTLED_MS = 1_000;
/** Bytes of one answer without end that an instance may read: those of an event, and what one read may add. */
const MAX_READ_BYTES = 17 * 1_048_576;

/** What is recorded of a run. */
export interface EndlessRecord {
  readonly attempts: readonly CallerAttempt[];
  readonly runs: readonly ServerRun[];
  readonly endlessTimes: readonly EndlessTime[];
  readonly endlessReads: readonly EndlessRead[];
  /** Log lines of all instances. */
  readonly logs: readonly (readonly LogLine[])[];
  readonly failedAnswers: readonly FailedAnswer[];
  readonly servingTimes: readonly ServingTime[];
  /** Times in which instances were stopped or cut off, and moments at which they were killed. */
  readonly interruptions: readonly InstanceInterruption[];
  /** Ends of processes that no signal had asked for. */
  readonly unexpectedEnds: readonly InstanceEnd[];
  /** Returns the instances that a request passed through. */
  readonly instancesOf: (attempt: CallerAttempt) => readonly number[];
}

interface Span {
  /** Unix ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

const overlaps = (left: Span, right: Span): boolean =>
  left.fromMs <= right.toMs && right.fromMs <= left.toMs;

const spanOf = ({ atMs, endedAtMs }: CallerAttempt): Span => ({ fromMs: atMs, toMs: endedAtMs });

/** Checks the requests of a run that was sent while servers answered without end, and the connections of such answers. */
export function checkEndless(record: EndlessRecord): readonly BrokenPromise[] {
  const { runs, endlessReads, servingTimes } = record;
  const runsOf = new Map<string, ServerRun[]>();
  for (const run of runs) runsOf.set(run.requestId, [...(runsOf.get(run.requestId) ?? []), run]);
  const failed = new Set(record.failedAnswers.map(({ requestId }) => requestId));
  const atEndless = new Set(endlessReads.map(({ requestId }) => requestId));

  const isJudged = (attempt: CallerAttempt): boolean => {
    const span = spanOf(attempt);
    const instances = record.instancesOf(attempt);
    return (
      record.endlessTimes.some((time) => overlaps(time, span)) &&
      !record.interruptions.some(
        (time) => instances.includes(time.instance) && overlaps(time, span),
      )
    );
  };

  /** Whether a server took requests for the whole time of a run. */
  const wasServing = ({ server, atMs }: ServerRun, { endedAtMs }: CallerAttempt): boolean =>
    servingTimes.some(
      (time) =>
        time.server === server && time.fromMs + SETTLED_MS <= atMs && time.toMs >= endedAtMs,
    );

  /** Whether a request was at sound servers only. */
  const wasAtSoundServers = (attempt: CallerAttempt): boolean => {
    const own = runsOf.get(attempt.requestId) ?? [];
    const hasFailed = failed.has(attempt.requestId) || atEndless.has(attempt.requestId);
    return !hasFailed && own.length > 0 && own.every((run) => wasServing(run, attempt));
  };

  const judged = record.attempts.filter(isJudged);
  const late = judged.filter(({ atMs, endedAtMs }) => endedAtMs - atMs > DEADLINE_MS + MARGIN_MS);
  const struck = judged.filter(
    (attempt) => !attempt.hasLeft && isCut(attempt) && wasAtSoundServers(attempt),
  );
  const tooFar = record.logs
    .flat()
    .filter(({ event }) => event === PASS_THROUGH_EVENTS.endlessAnswer.id)
    .filter(({ bytes = Infinity }) => bytes > MAX_READ_BYTES);
  const stillOpen = endlessReads.filter(({ isOpen }) => isOpen);
  return [
    ...late.map(({ requestId, atMs, endedAtMs }) => ({
      promise: 'lateInEndless' as const,
      requestId,
      detail: `neither answered nor refused after ${endedAtMs - atMs} ms`,
    })),
    ...struck.map(({ requestId, status }) => ({
      promise: 'struckByEndless' as const,
      requestId,
      detail: `${status} at sound servers`,
    })),
    ...tooFar.map(({ requestId = '', to, shape, bytes }) => ({
      promise: 'endlessReadTooFar' as const,
      requestId,
      detail: `${bytes} bytes of ${shape} at ${to}`,
    })),
    ...stillOpen.map(({ requestId, server, shape }) => ({
      promise: 'endlessKeptOpen' as const,
      requestId,
      detail: `${shape} at ${server}`,
    })),
    ...record.unexpectedEnds.map(({ instance, how }) => ({
      promise: 'instanceEnded' as const,
      requestId: '',
      detail: `instance ${instance}: ${how}`,
    })),
  ];
}
