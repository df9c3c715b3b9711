import { PASS_THROUGH_EVENTS } from '../src/core/pass-through';
import { RELAY_NODE_EVENTS } from '../src/core/relay-node/events';
import { SERVER_LIMIT_EVENTS } from '../src/core/server-limits/events';
import type { LogLine } from './log-lines';
import type { BrokenPromise, NamedLimitChange, ServerRun } from './types';

/** Checks that the instances together keep to the limits that servers name, by what servers ran and instances logged. */

/** Time after a server first named a limit from which the bound holds, ms. */
const SETTLING_MS = 5_000;
/** Time after an instance learned of a limit from which its requests count, ms. */
const TOLD_AFTER_MS = 500;
const WINDOW_MS = 4_000;
const OVER_FACTOR = 1.5;
const SLACK = 5;
const MS_PER_S = 1_000;

/** Since when the sender of each request knew of the limit of its server, Unix ms; by request and server. */
export type KnownSince = ReadonlyMap<string, number>;

export function requestKey(requestId: string, server: string): string {
  return `${requestId} ${server}`;
}

/** Adds the requests of one instance that it sent to servers whose limits it knew. */
function addKnownSince(log: readonly LogLine[], knownSince: Map<string, number>): void {
  const learnedAtMs = new Map<string, number>();
  for (const line of log) {
    const { server = '', to = '', requestId = '' } = line;
    switch (line.event) {
      case RELAY_NODE_EVENTS.started.id:
        learnedAtMs.clear();
        break;
      case SERVER_LIMIT_EVENTS.learned.id:
        learnedAtMs.set(server, Date.parse(line.timestamp));
        break;
      case SERVER_LIMIT_EVENTS.ended.id:
        learnedAtMs.delete(server);
        break;
      case PASS_THROUGH_EVENTS.placed.id: {
        const sinceMs = learnedAtMs.get(to);
        if (sinceMs !== undefined) knownSince.set(requestKey(requestId, to), sinceMs);
        break;
      }
      default:
    }
  }
}

/** Returns which requests were sent with knowledge of a limit, by the logs of all instances. */
export function readKnownSince(logs: readonly (readonly LogLine[])[]): KnownSince {
  const knownSince = new Map<string, number>();
  for (const log of logs) addKnownSince(log, knownSince);
  return knownSince;
}

/** Time in which a server named limits without a break, with their changes. */
interface LimitedSpan {
  readonly server: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly changes: readonly NamedLimitChange[];
}

function limitedSpans(changes: readonly NamedLimitChange[]): readonly LimitedSpan[] {
  const spans: LimitedSpan[] = [];
  const open = new Map<string, NamedLimitChange[]>();
  for (const change of changes) {
    const some = open.get(change.server) ?? [];
    if (change.perSecond !== undefined) open.set(change.server, [...some, change]);
    else if (some[0] !== undefined) {
      open.delete(change.server);
      const { server, atMs: fromMs } = some[0];
      spans.push({ server, fromMs, toMs: change.atMs, changes: some });
    }
  }
  for (const [server, some] of open) {
    spans.push({ server, fromMs: some[0]?.atMs ?? 0, toMs: Infinity, changes: some });
  }
  return spans;
}

/** Returns the highest limit that was in force in a window. */
function highestLimit({ changes }: LimitedSpan, fromMs: number, toMs: number): number {
  const inForce = changes.filter(
    ({ atMs }, index) => atMs <= toMs && (changes[index + 1]?.atMs ?? Infinity) >= fromMs,
  );
  return Math.max(...inForce.map(({ perSecond = 0 }) => perSecond));
}

function judgeSpan(
  span: LimitedSpan,
  runs: readonly ServerRun[],
  knownSince: KnownSince,
): BrokenPromise[] {
  const times = runs
    .filter(({ requestId, server, atMs }) => {
      const sinceMs = knownSince.get(requestKey(requestId, server));
      const isTold = sinceMs !== undefined && atMs >= sinceMs + TOLD_AFTER_MS;
      return server === span.server && isTold && atMs >= span.fromMs && atMs < span.toMs;
    })
    .map(({ atMs }) => atMs)
    .sort((left, right) => left - right);
  let first = 0;
  for (const [last, endMs] of times.entries()) {
    while ((times[first] ?? endMs) <= endMs - WINDOW_MS) first += 1;
    const startMs = endMs - WINDOW_MS;
    const perSecond = highestLimit(span, startMs, endMs);
    const allowed = (OVER_FACTOR * perSecond * WINDOW_MS) / MS_PER_S + SLACK;
    const count = last - first + 1;
    if (endMs >= span.fromMs + SETTLING_MS && count > allowed) {
      const detail = `${span.server}: ${count} in 4 s at ${perSecond} a second, allowed ${allowed}`;
      return [{ promise: 'limitExceeded', requestId: '', detail }];
    }
  }
  return [];
}

/** Compares the requests that servers ran with the limits that they named; `changes` are in order of time. */
export function checkLimits(
  runs: readonly ServerRun[],
  changes: readonly NamedLimitChange[],
  knownSince: KnownSince,
): readonly BrokenPromise[] {
  return limitedSpans(changes).flatMap((span) => judgeSpan(span, runs, knownSince));
}
