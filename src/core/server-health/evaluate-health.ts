import type { ListStatus, PeerStatement, ServerEvidence, HealthState } from './types';

/**
 * Evaluates whether a server may be sent new work, from sources of unequal reliability.
 *
 * Servers come and go under steady traffic. Relying on the list alone would send work to dead servers for as long
 * as the list lags, and would not use live servers that it omits. Relying on checks alone would send work to a
 * server that still answers but is stopped a minute later, which cuts its streams. Therefore an intention to leave
 * counts at once from any source, a failure counts only from an instance that tried the server, and absence from
 * the list alone is no evidence.
 */
export function evaluateHealth(evidence: ServerEvidence, nowMs: number): HealthState {
  const valid = evidence.peerStatements.filter((entry) => isStatementValid(entry, evidence, nowMs));
  if (evidence.reportsDraining) return { kind: 'draining', cause: 'selfReported' };
  if (isLeavingByList(evidence)) return { kind: 'draining', cause: 'list' };
  if (valid.some((entry) => entry.kind === 'draining')) return { kind: 'draining', cause: 'peer' };
  if (evidence.failsChecks) return { kind: 'down', cause: 'checks' };
  const isDownByPeer = valid.some(
    (entry) =>
      entry.kind === 'down' && (evidence.lastSuccessAtMs ?? -Infinity) <= entry.receivedAtMs,
  );
  return isDownByPeer ? { kind: 'down', cause: 'peer' } : { kind: 'usable' };
}

/**
 * Evaluates the health of a server without the statements of peers. This is what the instance reports to its peers,
 * so that their own statements are not sent back to them.
 */
export function evaluateOwnHealth(evidence: ServerEvidence, nowMs: number): HealthState {
  return evaluateHealth({ ...evidence, peerStatements: [] }, nowMs);
}

/**
 * Returns the number of consecutive failed checks after which a server counts as down: one is enough when the list
 * shows the server as failing, missing or leaving.
 */
export function failuresNeeded(listStatus: ListStatus, configured: number): number {
  switch (listStatus) {
    case 'unknown':
    case 'passing':
      return configured;
    case 'failing':
    case 'missing':
    case 'leaving':
      return 1;
    default:
      return listStatus satisfies never;
  }
}

/** Whether a statement is about another incarnation, and so does not apply after a restart under the same address. */
function isOtherIncarnation(ofStatement: string | undefined, current: string | undefined): boolean {
  return ofStatement !== undefined && current !== undefined && ofStatement !== current;
}

function isLeavingByList({ listStatus, leavingIncarnation, incarnation }: ServerEvidence): boolean {
  return listStatus === 'leaving' && !isOtherIncarnation(leavingIncarnation, incarnation);
}

function isStatementValid(
  statement: PeerStatement,
  { incarnation }: ServerEvidence,
  nowMs: number,
): boolean {
  return statement.expiresAtMs > nowMs && !isOtherIncarnation(statement.incarnation, incarnation);
}
