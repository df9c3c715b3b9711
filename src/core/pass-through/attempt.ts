import type { AnswerHead, Exchange, ExchangeEnd } from '../exchanges';
import type { AbortCause } from '../outcomes';
import { FAILURE_BODY_TIMEOUT_MS, LARGE_EVENT_BYTES, abandonedAfterMs } from './answer-limits';
import { createAnswerTiming } from './answer-timing';
import {
  createBufferedReader,
  createHeldFailureReader,
  createStreamReader,
  statesFailureLength,
} from './answer-reader';
import type { AnswerReader } from './answer-reader';
import type { SendableDestination } from './destinations';
import {
  ATTEMPTS_HEADER,
  OUTCOME_HEADER,
  REASON_HEADER,
  STREAM_VERSION_HEADER,
  readDecisiveReason,
} from './forwarding';
import { announceAnswer } from './announce-answer';
import { isEventStream, readServersTried, versionOfWriter } from './answer-head';
import type { AttemptResult } from './attempt-result';
import type { Attempt, AttemptOptions } from './attempt-types';
import { classifyAnswer, headerText, isAnswerOfInstance } from './classify-answer';
import type { AnswerClassification } from './classify-answer';
import { observeDestination } from './observe-destination';
import type { ObservedEnd } from './observe-destination';
import { UNAVAILABLE_STATUS, observeStatements, readPause } from './observe-statements';
import { createReadingPauses } from './reading-pauses';
import { createHeldAnswer } from './held-answer';
import { sendAttempt } from './send-attempt';

/** Time in which the rest of an answer has to arrive whose head decides, ms, for its connection to be used again. */
const REST_TIMEOUT_MS = 500;

/**
 * Returns the name of a destination in log lines and in the set of tried destinations. For a
 * server, it identifies one incarnation.
 */
export function destinationName(to: SendableDestination): string {
  return to.kind === 'server' ? to.server.incarnationId : to.peer.instanceId;
}

function endOfDecided(result: AttemptResult): ObservedEnd {
  if (result.kind !== 'lost') return 'refused';
  return result.cause === 'aborted' ? 'inconclusive' : 'failed';
}

/** Sends a request once and passes its answer on as it arrives, as far as that is allowed. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { clock, dialect, router, request, plan, to, progress } = options;
  let hasPassedOn = false;
  const answer = announceAnswer(options.answer, () => {
    hasPassedOn = true;
    options.onPassingOn();
  });
  const sentAtMs = clock.monotonicMs();
  const observer = observeDestination(options, to);
  const droppedHeaders = new Set([
    dialect.notRun,
    OUTCOME_HEADER,
    REASON_HEADER,
    ATTEMPTS_HEADER,
    STREAM_VERSION_HEADER,
  ]);
  let exchange: Exchange | undefined;
  let reader: AnswerReader | undefined;
  let head: AnswerHead | undefined;
  /** Result that the head alone determines, whatever follows. */
  let decidedResult: AttemptResult | undefined;
  let isFailure = false;
  let isReported = false;
  /** Ends a failure that does not state its length. */
  let failureDeadline: Disposable | undefined;
  let abortedBy: AbortCause | undefined;
  let isDiscarded = false;
  /** Whether a connection for the request was free or could be opened. */
  let hasBegun = false;
  let position = progress.openPosition();

  const timing = createAnswerTiming(clock);
  const pauses = createReadingPauses(
    () => {
      timing.recordPaused();
      exchange?.pause();
    },
    () => {
      timing.recordResumed();
      exchange?.resume();
    },
  );
  const holder = options.room.open(() => pauses.end('noRoom'));

  const abort = (cause: AbortCause): void => {
    abortedBy = cause;
    exchange?.abort(cause);
  };

  /** Records that bytes arrived over this instance's own link to the server. */
  const recordReached = (): void => {
    if (to.kind === 'server') options.reachability.recordReached(to.server.incarnationId);
  };

  const report = (result: AttemptResult, end: ObservedEnd): void => {
    if (isReported) return;
    isReported = true;
    holder[Symbol.dispose]();
    failureDeadline?.[Symbol.dispose]();
    const showsNothing = isDiscarded && abortedBy !== 'silence';
    observer.recordEnd(showsNothing ? 'inconclusive' : end);
    if (!isDiscarded) options.onResult(result);
  };

  const recordFirstByte = (): void => {
    timing.recordFirstByte();
    observer.recordFirstByte();
  };

  const endAsLost = (reason: string, cause: AbortCause): void => {
    decidedResult = { kind: 'lost', reason, cause, wasBrokenOff: false };
    abort(cause);
  };

  /** Ends the attempt because of its head. */
  const abortAtHead = (reason: string): void => endAsLost(reason, 'malformed');

  /** Ends an attempt that writes another stream than the one that the caller has got. */
  const endAsDifferent = (): void => {
    reader = undefined;
    endAsLost('its events do not follow those that were passed on', 'aborted');
  };

  /** Reports what the head alone determines, whatever follows, and drops the rest of the answer. */
  const reportAtHead = (result: AttemptResult): void => {
    report(result, 'refused');
    exchange?.discardRest(clock, clock.monotonicMs() + REST_TIMEOUT_MS);
  };

  const openFailureReader = (answerHead: AnswerHead): void => {
    const held = createHeldFailureReader(answerHead, answer, droppedHeaders);
    reader = held;
    const endIfDue = (): void => {
      if (timing.isPaused()) scheduleEnd();
      else exchange?.abortEndless({ shape: 'failureBody', bytes: held.heldBytes() });
    };
    function scheduleEnd(): void {
      failureDeadline = clock.schedule(clock.monotonicMs() + FAILURE_BODY_TIMEOUT_MS, endIfDue);
    }
    scheduleEnd();
  };

  const openReader = (answerHead: AnswerHead): void => {
    if (isEventStream(plan, answerHead)) {
      const version = versionOfWriter(to, answerHead);
      const answers = { answer, quietAnswer: options.answer };
      reader = createStreamReader(answerHead, version, answers, position, droppedHeaders);
      return;
    }
    if (answer.headSent) {
      // A resumed stream got an answer that is no event stream; nothing of it may reach the caller.
      abortAtHead('the stream could not be resumed');
      return;
    }
    recordFirstByte();
    if (isFailure && !statesFailureLength(answerHead)) openFailureReader(answerHead);
    else reader = createBufferedReader(answerHead, answer, droppedHeaders);
  };

  const rejection = (answerHead: AnswerHead): AttemptResult => {
    const pause = readPause(answerHead, options);
    const pauseMs = pause.kind === 'pause' ? pause.waitMs : undefined;
    return { kind: 'rejected', status: answerHead.status, pauseMs };
  };

  /** Records what an answer states, unless it is of another server or of an earlier request. */
  const observeAnswer = (answerHead: AnswerHead, classification: AnswerClassification): void => {
    if (to.kind === 'peer' || classification.kind === 'wrong') return;
    if (classification.kind === 'notRun' && classification.isReplaced) return;
    const load = dialect.readLoadReport(headerText(answerHead.headers[dialect.load]) ?? '');
    if (load !== undefined) observer.recordLoad(load);
    observeStatements(options, to.server, answerHead, 'answer');
  };

  const onHead = (answerHead: AnswerHead): void => {
    recordReached();
    if (isDiscarded) return;
    head = answerHead;
    timing.recordByte();
    if (to.kind === 'peer' && !isAnswerOfInstance(head)) {
      abortAtHead(`the other instance did not take it for a request: status ${head.status}`);
      return;
    }
    const classification = classifyAnswer(head, request.requestId, dialect);
    const outcome = headerText(head.headers[OUTCOME_HEADER]);
    if (to.kind === 'peer' && outcome !== undefined && classification.kind !== 'wrong') {
      const pause = readPause(head, options);
      const retryAfterMs = pause.kind === 'pause' ? pause.waitMs : undefined;
      const statedReason = headerText(head.headers[REASON_HEADER]);
      reportAtHead({
        kind: 'peerRefused',
        hasNotRun: outcome === 'notRun',
        reason: readDecisiveReason(statedReason),
        statedReason,
        retryAfterMs,
      });
      return;
    }
    observeAnswer(head, classification);
    switch (classification.kind) {
      case 'notRun':
        if (head.status === UNAVAILABLE_STATUS) observer.recordTaken(false);
        if (classification.isReplaced && to.kind === 'server') {
          options.onReplaced(to.server.serverId);
        }
        reportAtHead(rejection(head));
        return;
      case 'wrong':
        abortAtHead(classification.reason);
        return;
      case 'ran':
        observer.recordTaken(true);
        isFailure = classification.isFailure;
        if (isFailure) observer.recordFailing();
        options.onRan();
        openReader(head);
        return;
      default:
        classification satisfies never;
    }
  };

  /** Returns whether the caller has abandoned the stream before a large event of it was whole. */
  const isAbandonedEvent = (partBytes: number): boolean =>
    head !== undefined &&
    isEventStream(plan, head) &&
    partBytes > LARGE_EVENT_BYTES &&
    timing.unprogressedMs() >= abandonedAfterMs(plan);

  const onData = (chunk: Buffer): void => {
    recordReached();
    if (isDiscarded || isReported || reader === undefined) return;
    timing.recordByte();
    recordFirstByte();
    observer.recordData();
    const step = reader.addChunk(chunk);
    if (step.kind === 'endless') {
      exchange?.abortEndless(step.found);
      return;
    }
    if (step.kind === 'different') {
      endAsDifferent();
      return;
    }
    if (step.hasProgressed) {
      timing.recordProgress();
      observer.recordProgress();
    } else if (isAbandonedEvent(reader.heldBytes())) {
      exchange?.abortEndless({ shape: 'partialEvent', bytes: reader.heldBytes() });
      return;
    }
    if (!holder.hold(reader.heldBytes())) pauses.begin('noRoom');
    if (!step.isCallerSlow) return;
    pauses.begin('callerIsSlow');
    answer.onDrain(() => pauses.end('callerIsSlow'));
  };

  const passOn = (): void => {
    reader?.finish();
  };

  const onWhole = (): void => {
    const status = head?.status ?? 0;
    // The end of an answer may still have been checked when another attempt won.
    if (isDiscarded) {
      report({ kind: 'answered', status }, 'inconclusive');
      return;
    }
    // Of a failure that is too large to be kept, the caller has got a part, or gets all of it now.
    if (isFailure && !answer.headSent && reader?.isLarge() !== true) {
      report({ kind: 'serverFailed', status, passOn }, 'failed');
      return;
    }
    const problem = reader?.finish();
    const seen = isFailure ? 'failed' : 'answered';
    if (problem === undefined) report({ kind: 'answered', status }, seen);
    else report({ kind: 'lost', reason: problem, cause: 'reset', wasBrokenOff: true }, 'failed');
  };

  const onEnd = (end: ExchangeEnd): void => {
    if (isReported) return;
    if (decidedResult !== undefined) {
      report(decidedResult, endOfDecided(decidedResult));
      return;
    }
    switch (end.kind) {
      case 'whole':
        onWhole();
        return;
      case 'neverSent':
        if (to.kind === 'server' && abortedBy === undefined) {
          router.loads.recordUnreachable(to.server.incarnationId, clock.monotonicMs());
          options.warmCheck.markSuspect(to.server);
          if (hasBegun) options.reachability.recordFailed(to.server.incarnationId);
        }
        report({ kind: 'neverSent', reason: end.reason }, 'refused');
        return;
      case 'lost':
        if (end.cause === 'endless') observer.recordEndless();
        if (to.kind === 'server' && end.cause === 'reset') options.warmCheck.markSuspect(to.server);
        // A timeout shows nothing about the server, unless the server was silent to all requests.
        report(
          {
            kind: 'lost',
            reason: end.reason,
            cause: end.cause,
            wasBrokenOff: end.cause === 'reset',
            ...(end.cause === 'endless' && { endless: end.endless }),
          },
          end.cause === 'timeout' && !observer.isSilent() ? 'inconclusive' : 'failed',
        );
        return;
      default:
        end satisfies never;
    }
  };

  const held = createHeldAnswer({ onHead, onData, onEnd });
  exchange = sendAttempt(options, {
    listener: held,
    onBegun() {
      position = progress.openPosition();
      hasBegun = true;
    },
    onUnusable: (reason) => report({ kind: 'neverSent', reason }, 'inconclusive'),
  });
  if (exchange === undefined) onEnd({ kind: 'neverSent', reason: 'no connection is free' });
  const attempt: Attempt = {
    to,
    sentAtMs,
    abort,
    discard(cause) {
      isDiscarded = true;
      // A server that went on while its answer was held was not silent.
      abort(held.hasArrived ? 'aborted' : cause);
      held.drop();
    },
    hold() {
      if (!hasPassedOn || head === undefined || !isEventStream(plan, head)) return false;
      held.hold();
      pauses.begin('inReserve');
      return true;
    },
    release() {
      held.release();
      pauses.end('inReserve');
    },
    lastByteAtMs: timing.lastByteAtMs,
    firstByteAtMs: timing.firstByteAtMs,
    hasProgressed: timing.hasProgressed,
    stalledFromMs: timing.stalledFromMs,
    serversTriedThere: () =>
      to.kind === 'server' || head === undefined ? undefined : readServersTried(head),
  };
  return attempt;
}
