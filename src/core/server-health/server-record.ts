import { failuresNeeded, judgeHealth } from './judge-health';
import type {
  CheckedServer,
  ListStatus,
  PeerMark,
  ServerEvidence,
  ServerObservation,
  HealthState,
} from './types';

/** What is known of one server, as a value: each piece of news gives the next one. */
export interface ServerRecord {
  readonly server: CheckedServer;
  readonly evidence: ServerEvidence;
  /** Checks in a row that failed, and that were good. */
  readonly failures: number;
  readonly successes: number;
  readonly healthState: HealthState;
  /** When the slow start began; undefined for a server that was there from the first. */
  readonly slowStartAtMs: number | undefined;
}

/** A server of which nothing is known yet; it may be tried. */
export function createRecord(
  server: CheckedServer,
  slowStartAtMs: number | undefined,
): ServerRecord {
  return {
    server,
    evidence: {
      incarnation: undefined,
      saysDraining: false,
      failsChecks: false,
      listStatus: 'unknown',
      leavingIncarnation: undefined,
      lastSuccessAtMs: undefined,
      peerMarks: [],
    },
    failures: 0,
    successes: 0,
    healthState: { kind: 'usable' },
    slowStartAtMs,
  };
}

function withEvidence(entry: ServerRecord, evidence: Partial<ServerEvidence>): ServerRecord {
  return { ...entry, evidence: { ...entry.evidence, ...evidence } };
}

function withFailure(entry: ServerRecord): ServerRecord {
  const failures = entry.failures + 1;
  const next = { ...entry, failures, successes: 0 };
  const needed = failuresNeeded(entry.evidence.listStatus, entry.server.rules.failuresToDown);
  return failures < needed ? next : withEvidence(next, { failsChecks: true, saysDraining: false });
}

function withSuccess(entry: ServerRecord, nowMs: number): ServerRecord {
  const successes = entry.successes + 1;
  const next = withEvidence({ ...entry, failures: 0, successes }, { lastSuccessAtMs: nowMs });
  if (successes < entry.server.rules.successesToUp) return next;
  return withEvidence(next, { failsChecks: false, saysDraining: false });
}

/** A new start has a cold cache, and none of what its predecessor said or suffered holds for it. */
function withIncarnation(
  entry: ServerRecord,
  incarnation: string | undefined,
  nowMs: number,
): ServerRecord {
  const previous = entry.evidence.incarnation;
  if (incarnation === undefined || incarnation === previous) return entry;
  if (previous === undefined) return withEvidence(entry, { incarnation });
  const renewed = withEvidence(entry, { incarnation, saysDraining: false, failsChecks: false });
  return { ...renewed, slowStartAtMs: nowMs };
}

/** The record after a health check, or after what a server says of itself on any answer. */
export function withObservation(
  entry: ServerRecord,
  observation: ServerObservation,
  nowMs: number,
): ServerRecord {
  switch (observation.kind) {
    case 'failed':
      return withFailure(entry);
    case 'draining': {
      const known = withIncarnation(entry, observation.incarnation, nowMs);
      return withEvidence({ ...known, successes: 0 }, { saysDraining: true });
    }
    case 'healthy':
      return withSuccess(withIncarnation(entry, observation.incarnation, nowMs), nowMs);
    default:
      return observation satisfies never;
  }
}

/** The record after a request had a good answer: no health check, but the server lives. */
export function withAnswer(entry: ServerRecord, nowMs: number): ServerRecord {
  return withEvidence(entry, { lastSuccessAtMs: nowMs });
}

/** The record after the platform's list was read. */
export function withListStatus(entry: ServerRecord, listStatus: ListStatus): ServerRecord {
  const { listStatus: previous, incarnation } = entry.evidence;
  const startsLeaving = listStatus === 'leaving' && previous !== 'leaving';
  return withEvidence(entry, {
    listStatus,
    ...(startsLeaving ? { leavingIncarnation: incarnation } : {}),
  });
}

/** The record after a peer's statement, which replaces the peer's last one. */
export function withMark(entry: ServerRecord, mark: PeerMark): ServerRecord {
  const others = entry.evidence.peerMarks.filter(({ origin }) => origin !== mark.origin);
  // A peer that says that nothing is the matter has nothing more to say.
  const peerMarks = mark.kind === 'usable' ? others : [...others, mark];
  return withEvidence(entry, { peerMarks });
}

/** The record with its health state judged anew and expired statements forgotten. */
export function judged(entry: ServerRecord, nowMs: number): ServerRecord {
  const peerMarks = entry.evidence.peerMarks.filter((mark) => mark.expiresAtMs > nowMs);
  const evidence = { ...entry.evidence, peerMarks };
  const healthState = judgeHealth(evidence, nowMs);
  const cameBack = healthState.kind === 'usable' && entry.healthState.kind !== 'usable';
  return {
    ...entry,
    evidence,
    healthState,
    slowStartAtMs: cameBack ? nowMs : entry.slowStartAtMs,
  };
}

/** Whether there is something to look after: a failure, a statement, or a health state that is not plainly good. */
export function isConcerned({ failures, evidence, healthState }: ServerRecord): boolean {
  return failures > 0 || evidence.peerMarks.length > 0 || healthState.kind !== 'usable';
}

/** Whether this instance has reason of its own to check the server, beside its duties. */
export function isQuestioned({ failures, evidence }: ServerRecord): boolean {
  return failures > 0 || evidence.saysDraining || evidence.failsChecks;
}
