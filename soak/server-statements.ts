import { PASS_THROUGH_EVENTS } from '../src/core/pass-through';
import { RELAY_NODE_EVENTS } from '../src/core/relay-node/events';
import type { LogLine } from './log-lines';
import { requestKey } from './server-limits';
import type { BrokenPromise, LinkCut, ServerStatement } from './types';

/** Checks that an instance keeps to what a server has stated in an answer to it, by what servers stated and instances logged. */

/** Time after the answer from which a request counts, ms: it may have been on its way, or logged a moment later. */
const DEPARTURE_SLACK_MS = 100;
const PAUSE_SLACK_MS = 500;
/** Requests that may be sent within a pause. */
const MAX_IN_PAUSE = 2;

/** Requests of one process to one start of a server. */
interface Sent {
  readonly requestId: string;
  readonly atMs: number;
}

/** What one process of an instance sent, and when its attempts ended. */
interface ProcessLog {
  /** By start of a server. */
  readonly sentTo: Map<string, Sent[]>;
  /** By request and start of a server, Unix ms. */
  readonly endedAtMs: Map<string, number>;
}

function readProcesses(log: readonly LogLine[]): readonly ProcessLog[] {
  const processes: ProcessLog[] = [];
  for (const { event, to = '', requestId = '', timestamp } of log) {
    const current = processes.at(-1);
    const atMs = Date.parse(timestamp);
    switch (event) {
      case RELAY_NODE_EVENTS.started.id:
        processes.push({ sentTo: new Map(), endedAtMs: new Map() });
        break;
      case PASS_THROUGH_EVENTS.placed.id:
        current?.sentTo.set(to, [...(current.sentTo.get(to) ?? []), { requestId, atMs }]);
        break;
      case PASS_THROUGH_EVENTS.answered.id:
      case PASS_THROUGH_EVENTS.attemptFailed.id:
        current?.endedAtMs.set(requestKey(requestId, to), atMs);
        break;
      default:
    }
  }
  return processes;
}

/** Whether the answer may have been held back between a server and an instance. */
function wasHeldBack(
  statement: ServerStatement,
  answeredAtMs: number,
  cuts: readonly LinkCut[],
): boolean {
  return cuts.some(({ fromMs, toMs }) => fromMs <= answeredAtMs && toMs >= statement.atMs);
}

function judge(
  statement: ServerStatement,
  { sentTo, endedAtMs }: ProcessLog,
  cuts: readonly LinkCut[],
): readonly BrokenPromise[] {
  const { requestId, server } = statement;
  const answeredAtMs = endedAtMs.get(requestKey(requestId, server));
  if (answeredAtMs === undefined || wasHeldBack(statement, answeredAtMs, cuts)) return [];
  const sent = sentTo.get(server) ?? [];
  switch (statement.kind) {
    case 'departure':
      return sent
        .filter(({ atMs }) => atMs > answeredAtMs + DEPARTURE_SLACK_MS)
        .map((late) => ({
          promise: 'sentToLeaving',
          requestId: late.requestId,
          detail: `${server}: ${late.atMs - answeredAtMs} ms after the answer to ${requestId}`,
        }));
    case 'pause': {
      const fromMs = Math.max(answeredAtMs, statement.atMs + PAUSE_SLACK_MS);
      const toMs = statement.atMs + statement.waitMs;
      const count = sent.filter(({ atMs }) => atMs > fromMs && atMs < toMs).length;
      if (count <= MAX_IN_PAUSE) return [];
      const detail = `${server}: ${count} in a pause of ${statement.waitMs} ms`;
      return [{ promise: 'sentInPause', requestId, detail }];
    }
    default:
      return statement satisfies never;
  }
}

/** Compares what servers stated with what the instances sent them afterwards. */
export function checkStatements(
  statements: readonly ServerStatement[],
  logs: readonly (readonly LogLine[])[],
  cuts: readonly LinkCut[],
): readonly BrokenPromise[] {
  return logs.flatMap((log, instance) => {
    const ownCuts = cuts.filter((cut) => cut.instance === instance);
    return readProcesses(log).flatMap((process) =>
      statements.flatMap((statement) => judge(statement, process, ownCuts)),
    );
  });
}
