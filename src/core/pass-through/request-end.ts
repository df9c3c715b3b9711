import type { Clock } from '../clock';
import type { LocalChoice } from './local-servers';
import type { RequestLog } from './request-log';
import type { ClientAnswer, InboundRequest, Refusal, RefusalReason, RequestPlan } from './types';

/** How a request ended, for counts and latencies. */
export interface ServedRequest {
  readonly plan: RequestPlan;
  readonly result: 'answered' | 'brokenOff' | 'callerGone' | RefusalReason;
  readonly firstByteMs: number;
  readonly totalMs: number;
  /** Backend servers that it has been sent to, those that another instance told of included. */
  readonly attempts: number;
  /** Whether no server has run it, and none will. */
  readonly hasNotRun: boolean;
}

/** Ends one request, in one of the ways that there are. */
export interface RequestEnd {
  isOver(): boolean;
  /** Notes that the request may have run. */
  noteMayHaveRun(): void;
  mayHaveRun(): boolean;
  /** Keeps the failure that a server answered with, for the case that no other answer comes. */
  keepFailure(passOn: () => void): void;
  /** The whole answer has been passed on. */
  answered(): void;
  callerGone(): void;
  /**
   * Nothing more is tried. The caller gets the failure of a server that was kept, or else is refused; an answer that has
   * begun is broken off. `best` is the best server, where what was expected of it is the reason.
   */
  giveUp(reason: RefusalReason, retryAfterMs: number | undefined, best?: LocalChoice): void;
}

/** What the end of a request is made with. */
export interface RequestEndOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly answer: ClientAnswer;
  readonly log: RequestLog;
  readonly attempts: () => number;
  /** When the first byte of an answer came, monotonic ms; undefined where none has. */
  readonly firstByteAtMs: () => number | undefined;
  readonly onDone: (done: ServedRequest) => void;
}

/** The end of a request that goes on. */
export function createRequestEnd(options: RequestEndOptions): RequestEnd {
  const { clock, request, plan, answer, log, attempts, onDone } = options;
  let isOver = false;
  let mayHaveRun = false;
  let passFailureOn: (() => void) | undefined;

  const finish = (result: ServedRequest['result'], hasNotRun = false): void => {
    isOver = true;
    const nowMs = clock.monotonicMs();
    const firstByteMs = (options.firstByteAtMs() ?? nowMs) - request.receivedAtMs;
    const totalMs = nowMs - request.receivedAtMs;
    onDone({ plan, result, firstByteMs, totalMs, attempts: attempts(), hasNotRun });
  };

  const refuse: RequestEnd['giveUp'] = (reason, retryAfterMs, best) => {
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    const refusal: Refusal = {
      reason,
      outcome,
      retryAfterMs: outcome === 'notRun' ? retryAfterMs : undefined,
    };
    answer.noteAttempts(attempts());
    answer.refuse(refusal);
    log.refused(refusal, best);
    finish(reason, outcome === 'notRun');
  };

  return {
    isOver: () => isOver,
    noteMayHaveRun() {
      mayHaveRun = true;
    },
    mayHaveRun: () => mayHaveRun,
    keepFailure(passOn) {
      mayHaveRun = true;
      passFailureOn = passOn;
    },
    answered: () => finish('answered'),
    callerGone: () => finish('callerGone', attempts() === 0),
    giveUp(reason, retryAfterMs, best) {
      if (answer.headSent) {
        answer.breakOff();
        log.brokenOff(reason);
        finish('brokenOff');
        return;
      }
      if (passFailureOn === undefined) {
        refuse(reason, retryAfterMs, best);
        return;
      }
      // A server's own answer says more than a refusal, and names the server to whoever looks for the cause.
      passFailureOn();
      finish('answered');
    },
  };
}
