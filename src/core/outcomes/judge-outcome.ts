import type { Evidence, Outcome } from './types';

/**
 * The one place that turns evidence into what callers are told.
 *
 * A caller who reads `notRun` places the order again. Were that ever said of a request that ran, or that a
 * paused process may still send, the order would run twice; so everything short of proof is `unknown`.
 */
export function judgeOutcome(evidence: Evidence): Outcome {
  switch (evidence.kind) {
    case 'neverSent':
    case 'vouchedByTicketOwner':
      return 'notRun';
    case 'refusedByPeer':
      return evidence.vouches ? 'notRun' : 'unknown';
    case 'refusedByServer':
      return evidence.declaredNotRun ? 'notRun' : 'unknown';
    case 'ranBefore':
      return 'ran';
    case 'ticketNotVouchedFor':
    case 'lostAfterSending':
      return 'unknown';
    default:
      return evidence satisfies never;
  }
}

/** The outcome of several attempts of one request: `notRun` only where each of them is. */
export function combineOutcomes(outcomes: readonly Outcome[]): Outcome {
  return outcomes.every((outcome) => outcome === 'notRun') ? 'notRun' : 'unknown';
}
