import type { ListStatus, PeerMark, ServerEvidence, HealthState } from './types';

/**
 * Decides whether a server may be given new work, from evidence of unequal worth.
 *
 * Answers the load pattern of servers that come and go under steady traffic. Believing the list alone sends
 * work to dead servers for as long as it lags and loses live ones that it omits; believing checks alone keeps
 * sending to a server that still answers but will be stopped in a minute, and cuts its streams. So an
 * intention to leave counts from anybody at once, a failure counts only from whoever tried, and absence from
 * the list is no evidence by itself.
 */
export function judgeHealth(evidence: ServerEvidence, nowMs: number): HealthState {
  const marks = evidence.peerMarks.filter((mark) => holds(mark, evidence, nowMs));
  if (evidence.saysDraining) return { kind: 'draining', cause: 'selfReported' };
  if (isLeavingByList(evidence)) return { kind: 'draining', cause: 'list' };
  if (marks.some((mark) => mark.kind === 'draining')) return { kind: 'draining', cause: 'peer' };
  if (evidence.failsChecks) return { kind: 'down', cause: 'checks' };
  const isDownByPeer = marks.some(
    (mark) => mark.kind === 'down' && (evidence.lastSuccessAtMs ?? -Infinity) <= mark.receivedAtMs,
  );
  return isDownByPeer ? { kind: 'down', cause: 'peer' } : { kind: 'usable' };
}

/** What this instance itself can vouch for; told to peers, who must not hear again what they said themselves. */
export function judgeOwnHealth(evidence: ServerEvidence, nowMs: number): HealthState {
  return judgeHealth({ ...evidence, peerMarks: [] }, nowMs);
}

/** Failed checks in a row until a server counts as down: one is enough where the list has its doubts too. */
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

/** A server that started anew under the same address has nothing to do with what was said of the old one. */
function isAnotherStart(ofStatement: string | undefined, current: string | undefined): boolean {
  return ofStatement !== undefined && current !== undefined && ofStatement !== current;
}

function isLeavingByList({ listStatus, leavingIncarnation, incarnation }: ServerEvidence): boolean {
  return listStatus === 'leaving' && !isAnotherStart(leavingIncarnation, incarnation);
}

function holds(mark: PeerMark, { incarnation }: ServerEvidence, nowMs: number): boolean {
  return mark.expiresAtMs > nowMs && !isAnotherStart(mark.incarnation, incarnation);
}
