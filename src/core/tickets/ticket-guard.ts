import type { Evidence } from '../outcomes';
import { judgeOutcome } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import type { SendGuard } from '../serving/types';

/** The guard of one ticket, which also knows whether its call may have run. */
export interface TicketGuard extends SendGuard {
  /** Whether bytes may have left for a server that has not vouched that nothing ran. */
  readonly mayHaveRun: boolean;
  /** What is known when the run ends without an answer. */
  evidence(): Evidence;
}

/** What the guard needs. */
export interface TicketGuardOptions {
  readonly ticketId: string;
  readonly expiresAtMs: number;
  /** Until when the first presentation waits for its answer. */
  readonly deadlineAtMs: number;
  readonly nowMs: () => number;
}

/**
 * Lets a call out at most once. A second send is refused while the first may have run, whichever code asks:
 * a retry, a hedge or a resumed attempt. Expiry is judged here, right before the first byte leaves; a process
 * that slept since the ticket was presented does not send an order that its caller has given up.
 */
export function createTicketGuard(options: TicketGuardOptions): TicketGuard {
  const { ticketId, expiresAtMs, deadlineAtMs, nowMs } = options;
  let known: Evidence = { kind: 'neverSent' };
  const mayHaveRun = () => judgeOutcome(known) !== 'notRun';

  return {
    idempotencyKey: ticketId,
    get mayHaveRun() {
      return mayHaveRun();
    },
    evidence: () => known,
    beginSend() {
      if (mayHaveRun()) {
        throw new RefusalError(REFUSALS.serverFailed, {
          detail: 'The call was sent before and may have run; it is not sent again.',
          step: 'begin-send',
          evidence: known,
        });
      }
      if (nowMs() >= expiresAtMs) {
        throw new RefusalError(REFUSALS.ticketExpired, {
          detail: 'The ticket expired before the call was sent.',
          step: 'begin-send',
          evidence: { kind: 'neverSent' },
        });
      }
      if (nowMs() >= deadlineAtMs) {
        throw new RefusalError(REFUSALS.deadlineExceeded, {
          detail: 'The deadline passed before the call was sent.',
          step: 'begin-send',
          evidence: { kind: 'neverSent' },
        });
      }
      known = { kind: 'lostAfterSending', cause: 'aborted' };
    },
    sendFailed(evidence) {
      known = evidence;
    },
  };
}
