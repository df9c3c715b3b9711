import { failuresNeeded, evaluateHealth } from './evaluate-health';
import type {
  CheckedServer,
  ListStatus,
  PeerStatement,
  ServerEvidence,
  ServerObservation,
  HealthState,
} from './types';

/** Immutable record of one server. Each update returns a new record. */
export interface ServerRecord {
  readonly server: CheckedServer;
  readonly evidence: ServerEvidence;
  /** Consecutive failed checks. */
  readonly failures: number;
  /** Consecutive successful checks. */
  readonly successes: number;
  readonly healthState: HealthState;
  /** When the slow start began; undefined for a server of the first configuration until it comes back or restarts. */
  readonly slowStartAtMs: number | undefined;
}

/** Returns the record of a server without any evidence yet, which is usable. */
export function createRecord(
  server: CheckedServer,
  slowStartAtMs: number | undefined,
): ServerRecord {
  return {
    server,
    evidence: {
      incarnation: undefined,
      reportsDraining: false,
      failsChecks: false,
      listStatus: 'unknown',
      leavingIncarnation: undefined,
      lastSuccessAtMs: undefined,
      peerStatements: [],
    },
    failures: 0,
    successes: 0,
    healthState: { kind: 'usable' },
    slowStartAtMs,
  };
}

function withEvidence(record: ServerRecord, evidence: Partial<ServerEvidence>): ServerRecord {
  return { ...record, evidence: { ...record.evidence, ...evidence } };
}

function withFailure(record: ServerRecord): ServerRecord {
  const failures = record.failures + 1;
  const next = { ...record, failures, successes: 0 };
  const needed = failuresNeeded(record.evidence.listStatus, record.server.rules.failuresToDown);
  return failures < needed
    ? next
    : withEvidence(next, { failsChecks: true, reportsDraining: false });
}

function withSuccess(record: ServerRecord, nowMs: number): ServerRecord {
  const successes = record.successes + 1;
  const next = withEvidence({ ...record, failures: 0, successes }, { lastSuccessAtMs: nowMs });
  if (successes < record.server.rules.successesToUp) return next;
  return withEvidence(next, { failsChecks: false, reportsDraining: false });
}

/**
 * Updates the incarnation. A restarted server has a cold cache, so it gets a slow start, and the reports and failures
 * of its predecessor do not apply to it.
 */
function withIncarnation(
  record: ServerRecord,
  incarnation: string | undefined,
  nowMs: number,
): ServerRecord {
  const previous = record.evidence.incarnation;
  if (incarnation === undefined || incarnation === previous) return record;
  if (previous === undefined) return withEvidence(record, { incarnation });
  const renewed = withEvidence(record, { incarnation, reportsDraining: false, failsChecks: false });
  return { ...renewed, slowStartAtMs: nowMs };
}

/** Returns the record after a health check, or after a server reported its state on any answer. */
export function withObservation(
  record: ServerRecord,
  observation: ServerObservation,
  nowMs: number,
): ServerRecord {
  switch (observation.kind) {
    case 'failed':
      return withFailure(record);
    case 'draining': {
      const updated = withIncarnation(record, observation.incarnation, nowMs);
      return withEvidence({ ...updated, successes: 0 }, { reportsDraining: true });
    }
    case 'healthy':
      return withSuccess(withIncarnation(record, observation.incarnation, nowMs), nowMs);
    default:
      return observation satisfies never;
  }
}

/** Returns the record after a good answer to a request, which is no health check but shows that the server is alive. */
export function withAnswer(record: ServerRecord, nowMs: number): ServerRecord {
  return withEvidence(record, { lastSuccessAtMs: nowMs });
}

/** Returns the record after the platform's list was read. */
export function withListStatus(record: ServerRecord, listStatus: ListStatus): ServerRecord {
  const { listStatus: previous, incarnation } = record.evidence;
  const startsLeaving = listStatus === 'leaving' && previous !== 'leaving';
  return withEvidence(record, {
    listStatus,
    ...(startsLeaving ? { leavingIncarnation: incarnation } : {}),
  });
}

/** Returns the record after a statement of a peer, which replaces the previous one of that peer. */
export function withPeerStatement(record: ServerRecord, statement: PeerStatement): ServerRecord {
  const others = record.evidence.peerStatements.filter(({ origin }) => origin !== statement.origin);
  // `usable` withdraws the previous statement of the peer, so nothing is stored.
  const peerStatements = statement.kind === 'usable' ? others : [...others, statement];
  return withEvidence(record, { peerStatements });
}

/** Returns the record with expired statements removed and its health state evaluated again. */
export function withHealthState(record: ServerRecord, nowMs: number): ServerRecord {
  const peerStatements = record.evidence.peerStatements.filter(
    (statement) => statement.expiresAtMs > nowMs,
  );
  const evidence = { ...record.evidence, peerStatements };
  const healthState = evaluateHealth(evidence, nowMs);
  const cameBack = healthState.kind === 'usable' && record.healthState.kind !== 'usable';
  return {
    ...record,
    evidence,
    healthState,
    slowStartAtMs: cameBack ? nowMs : record.slowStartAtMs,
  };
}

/**
 * Whether there is a failure, a statement of a peer or a health state other than usable, so that the record has to be
 * evaluated and published again as time passes.
 */
export function needsAttention({ failures, evidence, healthState }: ServerRecord): boolean {
  return failures > 0 || evidence.peerStatements.length > 0 || healthState.kind !== 'usable';
}

/** Whether this instance has evidence of its own against the server, and so checks it even when not on duty for it. */
export function isSuspect({ failures, evidence }: ServerRecord): boolean {
  return failures > 0 || evidence.reportsDraining || evidence.failsChecks;
}
