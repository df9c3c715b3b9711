import type { Clock } from '../clock';
import type { RefusalGrounds } from './create-refuser';
import type { RequestLog } from './request-log';
import type { ClientAnswer, InboundRequest, Refusal, RefusalReason, RequestPlan } from './types';

/** Result of a request, for the counts and latencies in metrics. */
export interface ServedRequest {
  readonly plan: RequestPlan;
  readonly result: 'answered' | 'brokenOff' | 'callerGone' | RefusalReason;
  readonly firstByteMs: number;
  readonly totalMs: number;
  /**
   * Number of backend servers that the request has been sent to, including those that another
   * instance reported.
   */
  readonly attempts: number;
  /** Whether no server has run the request, and none will. */
  readonly hasNotRun: boolean;
  /** What a refusal rests on; undefined if the choice of a destination was not the reason. */
  readonly grounds?: RefusalGrounds | undefined;
}

/** Ends one request: as answered, refused, broken off, or left by its caller. */
export interface RequestEnd {
  isOver(): boolean;
  /** Records that the request may have run. */
  markMayHaveRun(): void;
  mayHaveRun(): boolean;
  /** Keeps the failure answer of a server, which is passed on if no other answer arrives. */
  keepFailureAnswer(passOn: () => void): void;
  /** Ends the request after the complete answer has been passed on. */
  answered(): void;
  callerGone(): void;
  /**
   * Ends the request without further attempts. The caller gets the kept failure answer of a server,
   * or else a refusal; an answer that has begun is closed incomplete. `grounds` are those of the
   * server that is the reason, if there is one.
   */
  giveUp(reason: RefusalReason, retryAfterMs: number | undefined, grounds?: RefusalGrounds): void;
}

/** Options of `createRequestEnd`. */
export interface RequestEndOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly answer: ClientAnswer;
  readonly log: RequestLog;
  readonly attempts: () => number;
  /** Returns the time of the first byte of an answer, monotonic ms; undefined if there is none. */
  readonly firstByteAtMs: () => number | undefined;
  readonly onDone: (done: ServedRequest) => void;
}

/** Creates the object that ends one request and reports its result. */
export function createRequestEnd(options: RequestEndOptions): RequestEnd {
  const { clock, request, plan, answer, log, attempts, onDone } = options;
  let isOver = false;
  let mayHaveRun = false;
  let passOnKeptFailure: (() => void) | undefined;

  const finish = (
    result: ServedRequest['result'],
    hasNotRun = false,
    grounds?: RefusalGrounds,
  ): void => {
    isOver = true;
    const nowMs = clock.monotonicMs();
    const firstByteMs = (options.firstByteAtMs() ?? nowMs) - request.receivedAtMs;
    const totalMs = nowMs - request.receivedAtMs;
    onDone({ plan, result, firstByteMs, totalMs, attempts: attempts(), hasNotRun, grounds });
  };

  const refuse: RequestEnd['giveUp'] = (reason, retryAfterMs, grounds) => {
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    const refusal: Refusal = {
      reason,
      outcome,
      retryAfterMs: outcome === 'notRun' ? retryAfterMs : undefined,
    };
    answer.recordAttempts(attempts());
    answer.refuse(refusal);
    log.refused(refusal, grounds);
    finish(reason, outcome === 'notRun', grounds);
  };

  return {
    isOver: () => isOver,
    markMayHaveRun() {
      mayHaveRun = true;
    },
    mayHaveRun: () => mayHaveRun,
    keepFailureAnswer(passOn) {
      mayHaveRun = true;
      passOnKeptFailure = passOn;
    },
    answered: () => finish('answered'),
    callerGone: () => finish('callerGone', attempts() === 0),
    giveUp(reason, retryAfterMs, grounds) {
      if (answer.headSent) {
        answer.closeIncomplete();
        log.brokenOff(reason);
        finish('brokenOff');
        return;
      }
      if (passOnKeptFailure === undefined) {
        refuse(reason, retryAfterMs, grounds);
        return;
      }
      // A server's own answer carries more information than a refusal, and identifies the server
      // for diagnosis.
      passOnKeptFailure();
      finish('answered');
    },
  };
}
