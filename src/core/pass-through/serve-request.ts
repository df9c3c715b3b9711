import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { AnswerHead, ConnectionPool, Exchange, ExchangeEnd, HeaderMap } from '../exchanges';
import type { LossCause } from '../outcomes';
import type { RetryAllowance } from '../shared-budget';
import { createHeldAnswer, createStreamAnswer } from './answer-reader';
import type { AnswerReader, StreamProgress } from './answer-reader';
import type { Destination, Router } from './create-router';
import { PASS_THROUGH_EVENTS } from './events';
import {
  OUTCOME_HEADER,
  PLAN_HEADER,
  answerByMs,
  isRepeatable,
  requestFields,
  writePlan,
} from './forwarding';
import { headerText, judgeAnswer } from './judge-answer';
import type {
  ClientAnswer,
  HeaderDialect,
  InboundRequest,
  Refusal,
  RefusalReason,
  RequestPlan,
} from './types';

/** What serving needs. */
export interface ServeDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly retries: RetryAllowance;
  readonly onDone: (done: ServedRequest) => void;
}

/** How a request ended, for counts and latencies. */
export interface ServedRequest {
  readonly plan: RequestPlan;
  readonly result: 'answered' | 'brokenOff' | 'callerGone' | RefusalReason;
  readonly firstByteMs: number;
  readonly totalMs: number;
}

/** A request that is being served. */
export interface ServedHandle {
  /** The caller has left: work for it is given up. */
  cancel(): void;
}

/** Time for a connection to a server of this region; several round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Time for a connection to an instance of another region; several round trips of the longest links. */
const PEER_CONNECT_TIMEOUT_MS = 800;
const PEER_MOST_CONNECTIONS = 128;
/** Idle time within which a kept connection is trusted with a request that may not be repeated. */
const TRUSTED_IDLE_MS = 1_500;
const ANY_IDLE_MS = 60_000;
/** Silence of a server that owes an answer after which a repeatable request is tried elsewhere. */
const SILENCE_MS = 1_200;
/** Tries that never left this process before a request is refused; each names another server. */
const MOST_UNSENT = 4;
/** Other regions that are asked before the caller is told to come back. */
const MOST_PEER_REFUSALS = 2;
/** Tries at a server that turns out to be another one are free, but not without end. */
const MOST_NOT_RUN = 2;

type Sent = Exclude<Destination, { kind: 'none' }>;

/** One try. */
interface Attempt {
  readonly to: Sent;
  readonly sentAtMs: number;
  exchange: Exchange | undefined;
  reader: AnswerReader | undefined;
  hadFirstByte: boolean;
  verdict: 'pending' | 'pass' | 'failureHeld' | 'notRun' | 'peerNotRun';
  head: AnswerHead | undefined;
  lastByteAtMs: number;
  /** What showed that this is not the answer. */
  wrong: string | undefined;
  /** Whether its end has been told to those who count. */
  isNoted: boolean;
}

function destinationName(to: Sent): string {
  return to.kind === 'server' ? to.server.serverId : to.peer.instanceId;
}

/** Serves one request: sends it, passes its answer on, tries again where that is allowed and helps. */
export function serveRequest(
  needs: ServeDependencies,
  request: InboundRequest,
  plan: RequestPlan,
  answer: ClientAnswer,
): ServedHandle {
  const { clock, logger, dialect, pool, router, retries } = needs;
  const tried = new Set<string>();
  const progress: StreamProgress = { lastEventId: request.lastEventId, events: 0 };
  const droppedFromAnswers = new Set([dialect.notRun, OUTCOME_HEADER]);
  let current: Attempt | undefined;
  let attempts = 0;
  let unsent = 0;
  let rejected = 0;
  let mayHaveRun = false;
  let isOver = false;
  let isTimedOut = false;
  let firstByteAtMs: number | undefined;
  let lastFailure: RefusalReason = 'noServer';

  const mayRepeat = isRepeatable(plan);
  const fields = () => ({ ...requestFields(request, plan), attempts });

  const finish = (result: ServedRequest['result']): void => {
    isOver = true;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
    deadline[Symbol.dispose]();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
    silence?.[Symbol.dispose]();
    const nowMs = clock.monotonicMs();
    needs.onDone({
      plan,
      result,
      firstByteMs: (firstByteAtMs ?? nowMs) - request.receivedAtMs,
      totalMs: nowMs - request.receivedAtMs,
    });
  };

  const abortCurrent = (cause: LossCause): void => {
    current?.exchange?.abort(cause);
  };

  const giveUp = (reason: RefusalReason, retryAfterMs: number | undefined): void => {
    if (isOver) return;
    const totalMs = clock.monotonicMs() - request.receivedAtMs;
    if (answer.headSent) {
      answer.breakOff();
      logger.event(PASS_THROUGH_EVENTS.brokenOff, {
        ...fields(),
        reason,
        events: progress.events,
        totalMs,
      });
      finish('brokenOff');
      return;
    }
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    const refusal: Refusal = {
      reason,
      outcome,
      retryAfterMs: outcome === 'notRun' ? retryAfterMs : undefined,
    };
    answer.refuse(refusal);
    logger.event(PASS_THROUGH_EVENTS.refused, {
      ...fields(),
      reason,
      outcome,
      retryAfterMs: refusal.retryAfterMs,
      totalMs,
    });
    finish(reason);
  };

  const noteEnd = (attempt: Attempt, isFailure: boolean | undefined): void => {
    const { to, hadFirstByte, sentAtMs } = attempt;
    if (to.kind !== 'server' || attempt.isNoted) return;
    attempt.isNoted = true;
    const nowMs = clock.monotonicMs();
    router.loads.noteEnded(
      to.server.serverId,
      { hadFirstByte, tokens: to.tokens, isFailure },
      nowMs,
    );
    if (isFailure === false) router.paces.noteSlotTime(plan.service, nowMs - sentAtMs);
  };

  const noteFirstByte = (attempt: Attempt): void => {
    if (attempt.hadFirstByte) return;
    attempt.hadFirstByte = true;
    const nowMs = clock.monotonicMs();
    firstByteAtMs ??= nowMs;
    const { to, sentAtMs } = attempt;
    if (to.kind !== 'server') return;
    const actualMs = nowMs - sentAtMs;
    const { serverId } = to.server;
    const isRoomy = router.loads.load(serverId, nowMs) < to.server.slots / 2;
    if (isRoomy) router.paces.notePrefill(plan.service, to.tokens, actualMs);
    router.loads.noteFirstByte(
      serverId,
      { tokens: to.tokens, predictedMs: to.predictedMs, actualMs },
      nowMs,
    );
    if (request.demand !== undefined) router.prefixes.noteRead(serverId, request.demand);
  };

  const noteLoad = (attempt: Attempt, headers: HeaderMap): void => {
    const text = headerText(headers[dialect.load]);
    if (text === undefined || attempt.to.kind !== 'server') return;
    const report = dialect.readLoadReport(text);
    if (report === undefined) return;
    router.loads.noteReport(attempt.to.server.serverId, report, clock.monotonicMs());
  };

  const isDone = (): boolean => clock.monotonicMs() >= answerByMs(plan);

  /** Tries again after an attempt that reached a server, if attempts and budget are left. */
  const mayTryAgain = (): boolean =>
    attempts < plan.maxAttempts && !isDone() && retries.take(plan.service, clock.monotonicMs());

  const afterLoss = (reason: RefusalReason): void => {
    mayHaveRun = true;
    if (isTimedOut) {
      giveUp('timedOut', undefined);
      return;
    }
    lastFailure = reason;
    if (mayRepeat && mayTryAgain()) {
      tryNext();
      return;
    }
    giveUp(reason, undefined);
  };

  const afterNotRun = (retryAfterMs: number): void => {
    rejected += 1;
    lastFailure = 'serverRefused';
    if (rejected <= MOST_NOT_RUN && mayTryAgain()) {
      tryNext();
      return;
    }
    giveUp('serverRefused', retryAfterMs);
  };

  const logFailure = (attempt: Attempt, reason: string): void =>
    logger.event(PASS_THROUGH_EVENTS.attemptFailed, {
      ...fields(),
      to: destinationName(attempt.to),
      status: attempt.head?.status,
      reason,
      afterMs: clock.monotonicMs() - attempt.sentAtMs,
    });

  const onUnsent = (attempt: Attempt, reason: string): void => {
    noteEnd(attempt, undefined);
    logFailure(attempt, reason);
    if (isTimedOut) {
      giveUp('timedOut', TIMED_OUT_RETRY_MS);
      return;
    }
    if (attempt.to.kind === 'server') {
      router.loads.noteUnreachable(attempt.to.server.serverId, clock.monotonicMs());
    }
    attempts -= 1;
    unsent += 1;
    if (unsent >= MOST_UNSENT || isDone()) giveUp('noServer', UNSENT_RETRY_MS);
    else tryNext();
  };

  /** Another region has not run it either; this instance may look again, without that region's help. */
  const afterPeerRefusal = (attempt: Attempt): void => {
    logFailure(attempt, 'the other instance has not run the request');
    attempts -= 1;
    unsent += 1;
    lastFailure = 'overloaded';
    if (unsent < MOST_PEER_REFUSALS && !isDone()) tryNext();
    else giveUp('overloaded', REJECTED_RETRY_MS);
  };

  const onWhole = (attempt: Attempt): void => {
    switch (attempt.verdict) {
      case 'notRun':
        noteEnd(attempt, undefined);
        logFailure(attempt, 'the server says that it has not run the request');
        afterNotRun(REJECTED_RETRY_MS);
        return;
      case 'peerNotRun':
        afterPeerRefusal(attempt);
        return;
      case 'failureHeld':
        noteEnd(attempt, true);
        if (mayRepeat && mayTryAgain()) {
          logFailure(attempt, 'the server failed');
          mayHaveRun = true;
          tryNext();
          return;
        }
        break;
      case 'pass':
        break;
      case 'pending':
        noteEnd(attempt, true);
        afterLoss('serverFailed');
        return;
      default:
        attempt.verdict satisfies never;
    }
    const problem = attempt.reader?.finish();
    if (problem !== undefined) {
      noteEnd(attempt, true);
      logFailure(attempt, problem);
      afterLoss('serverFailed');
      return;
    }
    if (attempt.verdict === 'pass') noteEnd(attempt, false);
    const totalMs = clock.monotonicMs() - request.receivedAtMs;
    const status = attempt.head?.status;
    const to = destinationName(attempt.to);
    logger.event(PASS_THROUGH_EVENTS.answered, {
      ...fields(),
      to,
      status,
      events: progress.events,
      totalMs,
    });
    finish('answered');
  };

  const onEnd = (attempt: Attempt, end: ExchangeEnd): void => {
    if (current === attempt) current = undefined;
    if (isOver) {
      noteEnd(attempt, undefined);
      return;
    }
    switch (end.kind) {
      case 'whole':
        if (attempt.wrong === undefined) onWhole(attempt);
        else onLost(attempt, attempt.wrong);
        return;
      case 'neverSent':
        onUnsent(attempt, end.reason);
        return;
      case 'lost':
        if (attempt.verdict === 'notRun') {
          // The head has said it; the rest of such an answer holds nothing.
          noteEnd(attempt, undefined);
          afterNotRun(REJECTED_RETRY_MS);
          return;
        }
        onLost(attempt, attempt.wrong ?? end.reason);
        return;
      default:
        end satisfies never;
    }
  };

  /** A request that ran out of time says nothing of its server, unless that was silent to all. */
  const isServerSilent = ({ to }: Attempt): boolean =>
    to.kind === 'server' &&
    router.loads.silentMs(to.server.serverId, clock.monotonicMs()) >= SILENCE_MS;

  const onLost = (attempt: Attempt, reason: string): void => {
    noteEnd(attempt, isTimedOut && !isServerSilent(attempt) ? undefined : true);
    logFailure(attempt, reason);
    afterLoss('serverFailed');
  };

  const isStream = (head: AnswerHead): boolean =>
    plan.kind === 'stream' &&
    head.status === 200 &&
    (headerText(head.headers['content-type']) ?? '').startsWith('text/event-stream');

  const onPeerRefusal = (attempt: Attempt, outcome: string): void => {
    attempt.verdict = outcome === 'notRun' ? 'peerNotRun' : 'pending';
    // The other instance has used up all attempts that the request had left.
    if (outcome !== 'notRun') attempts = plan.maxAttempts;
  };

  const onHead = (attempt: Attempt, head: AnswerHead): void => {
    if (isOver) return;
    attempt.head = head;
    attempt.lastByteAtMs = clock.monotonicMs();
    noteLoad(attempt, head.headers);
    const outcome = headerText(head.headers[OUTCOME_HEADER]);
    if (attempt.to.kind === 'peer' && outcome !== undefined) {
      onPeerRefusal(attempt, outcome);
      return;
    }
    const verdict = judgeAnswer(head, request.requestId, dialect);
    switch (verdict.kind) {
      case 'notRun':
        attempt.verdict = 'notRun';
        return;
      case 'wrong':
        attempt.wrong = verdict.reason;
        abortCurrent('malformed');
        return;
      case 'ran':
        break;
      default:
        verdict satisfies never;
    }
    attempt.verdict = verdict.isFailure ? 'failureHeld' : 'pass';
    if (answer.headSent && !isStream(head)) {
      // A stream that was to go on has come to a failure instead; nothing of it may reach the caller.
      attempt.wrong = 'the stream could not be resumed';
      abortCurrent('malformed');
      return;
    }
    attempt.reader = isStream(head)
      ? createStreamAnswer(head, answer, progress, droppedFromAnswers)
      : createHeldAnswer(head, answer, droppedFromAnswers);
    if (!isStream(head)) noteFirstByte(attempt);
  };

  const onData = (attempt: Attempt, chunk: Buffer): void => {
    if (isOver || attempt.reader === undefined) return;
    attempt.lastByteAtMs = clock.monotonicMs();
    noteFirstByte(attempt);
    if (attempt.to.kind === 'server') {
      router.loads.noteHeard(attempt.to.server.serverId, attempt.lastByteAtMs);
    }
    const isFast = attempt.reader.take(chunk);
    if (isFast) return;
    attempt.exchange?.pause();
    answer.onDrain(() => attempt.exchange?.resume());
  };

  const headersFor = (to: Sent, nowMs: number): readonly string[] => {
    const leftMs = Math.max(1, Math.floor(answerByMs(plan) - nowMs));
    const headers = [...request.headers, dialect.timeLeftMs, String(leftMs)];
    const { lastEventId } = progress;
    if (lastEventId !== undefined) headers.push('last-event-id', lastEventId);
    if (to.kind === 'peer') {
      headers.push(
        PLAN_HEADER,
        writePlan(plan, Math.max(1, plan.maxAttempts - attempts + 1), nowMs),
      );
      return headers;
    }
    headers.push(dialect.targetServer, to.server.serverId);
    if (request.demand !== undefined)
      headers.push(dialect.priority, String(Math.min(9, plan.priority)));
    return headers;
  };

  const sendOptions = (to: Sent) => ({
    mostConnections: to.kind === 'server' ? to.mostConnections : PEER_MOST_CONNECTIONS,
    connectTimeoutMs: to.kind === 'server' ? CONNECT_TIMEOUT_MS : PEER_CONNECT_TIMEOUT_MS,
    mostIdleMs: plan.kind === 'nonIdempotent' ? TRUSTED_IDLE_MS : ANY_IDLE_MS,
  });

  const send = (to: Sent): void => {
    const nowMs = clock.monotonicMs();
    attempts += 1;
    tried.add(destinationName(to));
    const attempt: Attempt = {
      to,
      sentAtMs: nowMs,
      exchange: undefined,
      reader: undefined,
      hadFirstByte: false,
      verdict: 'pending',
      head: undefined,
      lastByteAtMs: nowMs,
      wrong: undefined,
      isNoted: false,
    };
    current = attempt;
    if (to.kind === 'server') router.loads.noteSent(to.server.serverId, to.tokens, nowMs);
    logger.event(PASS_THROUGH_EVENTS.placed, {
      ...fields(),
      to: destinationName(to),
      ...(to.kind === 'server'
        ? { predictedMs: Math.round(to.predictedMs), tokens: Math.round(to.tokens) }
        : { region: to.peer.region }),
      timeLeftMs: Math.round(answerByMs(plan) - nowMs),
    });
    const address = to.kind === 'server' ? to.server.address : to.peer.forwardAddress;
    attempt.exchange = pool.send(
      address,
      sendOptions(to),
      {
        method: request.method,
        path: request.path,
        headers: headersFor(to, nowMs),
        body: request.body,
      },
      {
        onHead: (head) => onHead(attempt, head),
        onData: (chunk) => onData(attempt, chunk),
        onEnd: (end) => onEnd(attempt, end),
      },
    );
    if (attempt.exchange === undefined) {
      onEnd(attempt, { kind: 'neverSent', reason: 'no connection is free' });
    }
  };

  function tryNext(): void {
    const to = router.choose(request, plan, tried, clock.monotonicMs());
    if (to.kind === 'none') {
      giveUp(mayHaveRun ? lastFailure : to.reason, to.retryAfterMs);
      return;
    }
    send(to);
  }

  /** Notices a server that says nothing to anyone while it owes this request an answer. */
  const lookForSilence = (): void => {
    if (isOver) return;
    const nowMs = clock.monotonicMs();
    const attempt = current;
    let dueAtMs = nowMs + SILENCE_MS / 2;
    if (attempt !== undefined) {
      const ownMs = nowMs - attempt.lastByteAtMs;
      const isMidStream = attempt.hadFirstByte;
      const serverMs =
        attempt.to.kind === 'server' && !isMidStream
          ? router.loads.silentMs(attempt.to.server.serverId, nowMs)
          : ownMs;
      const isSilent = Math.min(ownMs, serverMs) >= SILENCE_MS;
      if (isSilent && attempts < plan.maxAttempts) abortCurrent('silence');
      else dueAtMs = Math.max(dueAtMs, attempt.lastByteAtMs + SILENCE_MS);
    }
    silence = clock.schedule(dueAtMs, lookForSilence);
  };

  /**
   * Time is up. While a request is out, only the end of its exchange shows whether it has left: one that is
   * refused as "not run" from here while a server runs it would be sent again by its caller, and run twice.
   */
  const onDeadline = (): void => {
    if (isOver) return;
    isTimedOut = true;
    if (current === undefined) giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else abortCurrent('timeout');
  };
  const deadline = clock.schedule(answerByMs(plan), onDeadline);
  let silence: Disposable | undefined;
  if (mayRepeat && plan.maxAttempts > 1) {
    silence = clock.schedule(clock.monotonicMs() + SILENCE_MS, lookForSilence);
  }

  tryNext();
  return {
    cancel() {
      if (isOver) return;
      const totalMs = clock.monotonicMs() - request.receivedAtMs;
      logger.event(PASS_THROUGH_EVENTS.callerGone, {
        ...fields(),
        events: progress.events,
        totalMs,
      });
      finish('callerGone');
      abortCurrent('aborted');
    },
  };
}

/** When to come back after servers could not be reached: they are tried again within this time. */
const UNSENT_RETRY_MS = 500;
/** When to come back after a server that was full: a slot of a busy server is free within this time. */
const REJECTED_RETRY_MS = 400;
/** When to come back after time ran out before anything was sent. */
const TIMED_OUT_RETRY_MS = 1_000;
