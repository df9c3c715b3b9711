import type { SlotLease } from '../brittle-servers';
import type { AbortCause } from '../outcomes';
import { askPermission } from './ask-permission';
import { startAttempt } from './attempt';
import type { Attempt } from './attempt-types';
import { createAttemptBudget } from './attempt-budget';
import type { AttemptResult, FailedAttempt } from './attempt-result';
import type { CrashWatchedAttempt } from './crash-watch';
import type { SendableDestination } from './destinations';
import { endAtMs, isRepeatable } from './forwarding';
import { hedgeSilence } from './hedge-silence';
import { createOpenAttempts, hasReachedNoServer } from './open-attempts';
import { isBodyDone } from './release-body';
import { createRequestEnd } from './request-end';
import { createRequestLog } from './request-log';
import { createReserve } from './reserve-attempt';
import { recordBegunStream } from './resumed-stream';
import type { ServeDependencies } from './serve-dependencies';
import {
  MAX_UNSENT_ATTEMPTS,
  UNSENT_RETRY_MS,
  REJECTED_RETRY_MS,
  MAX_SLOT_DENIALS,
  TIMED_OUT_RETRY_MS,
} from './retry-bounds';
import { createStreamProgress } from './stream-progress';
import type { StreamProgress } from './stream-progress';
import { createTriedRecord } from './tried-destinations';
import type {
  ClientAnswer,
  InboundRequest,
  RefusalReason,
  RequestPlan,
  ServedHandle,
} from './types';
import { isSilent } from './watch-silence';

/** Serves one request: sends it, passes its answer on, and retries where that is allowed and helps. */
export function serveRequest(
  dependencies: ServeDependencies,
  request: InboundRequest,
  plan: RequestPlan,
  answer: ClientAnswer,
): ServedHandle {
  const { clock, router, retries } = dependencies;
  const tried = createTriedRecord();
  const progress: StreamProgress = createStreamProgress(
    clock,
    request.lastEventId,
    (softwareVersion) => recordBegunStream(dependencies, request, plan, softwareVersion),
  );
  const mayRepeat = isRepeatable(plan);
  const attemptBudget = createAttemptBudget(plan.maxAttempts, mayRepeat);
  const openAttempts = createOpenAttempts();
  let slotDenials = 0;
  let unsentAttempts = 0;
  let isTimedOut = false;
  let firstByteAtMs: number | undefined;
  let lastFailure: RefusalReason = 'noServer';
  /** Shortest time after which another region that refused the request expects it again, ms. */
  let peerRetryAfterMs: number | undefined;

  const log = createRequestLog({
    clock,
    logger: dependencies.logger,
    request,
    plan,
    progress,
    attempts: attemptBudget.used,
    serverSilentMs: (incarnationId) => router.loads.silentMs(incarnationId, clock.monotonicMs()),
  });
  const end = createRequestEnd({
    clock,
    request,
    plan,
    answer,
    log,
    attempts: attemptBudget.used,
    firstByteAtMs: () => firstByteAtMs,
    onDone(done) {
      stopTimers();
      dependencies.onDone(done);
    },
  });

  /** Returns the plan of the next attempt: once a stream has begun, it goes on at the version that began it. */
  const planOfNext = (): RequestPlan => ({
    ...plan,
    streamVersion: progress.softwareVersion ?? plan.streamVersion,
  });

  /** Returns whether another server can go on: with a stream that has begun only if it can be told after which event. */
  const canBeFollowed = (): boolean =>
    !answer.headSent || (progress.events > 0 && progress.hasPlace);

  /** Returns whether the request may be sent to one more server; takes that out of the retry budget. */
  const mayTryAgain = (): boolean =>
    !isTimedOut &&
    !request.body.isReleased &&
    canBeFollowed() &&
    attemptBudget.hasRemaining() &&
    retries.take(plan.service, clock.monotonicMs());

  const afterLoss = (): void => {
    if (mayRepeat && mayTryAgain()) tryNext();
    else end.giveUp(isTimedOut ? 'timedOut' : 'serverFailed', undefined);
  };

  const afterRejection = (): void => {
    if (mayTryAgain()) tryNext();
    else end.giveUp('serverRefused', Math.max(REJECTED_RETRY_MS, router.waitMs(plan)));
  };

  const afterUnsent = (): void => {
    unsentAttempts += 1;
    if (isTimedOut) end.giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else if (unsentAttempts < MAX_UNSENT_ATTEMPTS) tryNext();
    else end.giveUp('noServer', UNSENT_RETRY_MS);
  };

  const afterPeerRefusal = (hasNotRun: boolean, serversTried: number | undefined): void => {
    if (!hasNotRun) {
      afterLoss();
      return;
    }
    // If servers there have rejected the request, the next attempt is a retry; otherwise it is the first one.
    const needsNoRetryBudget = isTimedOut || serversTried === 0;
    if (needsNoRetryBudget || mayTryAgain()) afterUnsent();
    else end.giveUp('overloaded', REJECTED_RETRY_MS);
  };

  const afterServerFailure = (): void => {
    if (mayRepeat && mayTryAgain()) tryNext();
    else end.giveUp('serverFailed', undefined);
  };

  const recordPeerRefusal = (
    { to }: Attempt,
    { reason, retryAfterMs, hasNotRun }: AttemptResult & { kind: 'peerRefused' },
  ): void => {
    // An instance without links refuses for itself; others of its region may reach the servers.
    if (to.kind === 'peer' && reason !== 'serversUnreachable') tried.recordRefusal(to.peer);
    if (retryAfterMs !== undefined) {
      peerRetryAfterMs = Math.min(peerRetryAfterMs ?? Infinity, retryAfterMs);
    }
    if (hasNotRun) lastFailure = 'overloaded';
    else recordLoss();
  };

  function recordLoss(): void {
    end.markMayHaveRun();
    lastFailure = 'serverFailed';
  }

  /** Records an attempt that failed, whether or not another one is in progress. */
  const recordFailure = (attempt: Attempt, result: FailedAttempt): void => {
    switch (result.kind) {
      case 'neverSent':
        log.attemptFailed(attempt, result.reason);
        return;
      case 'rejected':
        log.rejected(attempt, result.status, result.pauseMs);
        lastFailure = 'serverRefused';
        return;
      case 'peerRefused':
        log.peerRefused(attempt, result.statedReason);
        recordPeerRefusal(attempt, result);
        return;
      case 'serverFailed':
        log.attemptFailed(attempt, 'the server failed', { status: result.status });
        end.keepFailureAnswer(() => {
          result.passOn();
          log.answered(attempt, result.status, firstByteAtMs);
        });
        lastFailure = 'serverFailed';
        return;
      case 'lost':
        log.attemptFailed(attempt, result.reason, { cause: result.cause });
        if (result.endless !== undefined) {
          log.endless(attempt, result.endless);
          dependencies.onEndless(result.endless);
        }
        recordLoss();
        return;
      default:
        result satisfies never;
    }
  };

  /** Decides how the request goes on when its last attempt in progress has failed. */
  const afterFailure = (attempt: Attempt, result: FailedAttempt): void => {
    switch (result.kind) {
      case 'neverSent':
        afterUnsent();
        return;
      case 'rejected':
        afterRejection();
        return;
      case 'peerRefused':
        if (result.hasNotRun && result.reason === 'suspectedOfCrashes') {
          // That instance knows of crashes that this one has not heard of.
          end.giveUp('suspectedOfCrashes', result.retryAfterMs);
          return;
        }
        afterPeerRefusal(result.hasNotRun, attempt.serversTriedThere());
        return;
      case 'serverFailed':
        afterServerFailure();
        return;
      case 'lost':
        afterLoss();
        return;
      default:
        result satisfies never;
    }
  };

  const discard = (attempt: Attempt, cause: AbortCause): void => {
    log.attemptDiscarded(attempt, cause);
    openAttempts.discard((open) => (open === attempt ? cause : undefined));
  };
  const reserve = createReserve({
    clock,
    loads: router.loads,
    slots: dependencies.reserveSlots,
    attempts: openAttempts.list,
    end(attempt, cause) {
      progress.forgetEvents();
      discard(attempt, cause);
    },
  });
  const onResult = (attempt: Attempt, result: AttemptResult): void => {
    openAttempts.end(attempt, result);
    reserve.forget(attempt);
    firstByteAtMs ??= attempt.firstByteAtMs();
    if (result.kind === 'answered') {
      log.answered(attempt, result.status, firstByteAtMs);
      end.answered();
      return;
    }
    recordFailure(attempt, result);
    if (openAttempts.size === 0) afterFailure(attempt, result);
    else if (hasReachedNoServer(attempt, result)) {
      retries.giveBack(plan.service, clock.monotonicMs());
    }
    if (reserve.active().length === 0) reserve.goOn();
  };

  /** Ends all attempts but the one that has something for the caller; one may be kept in reserve. */
  const keepOnly = (answering: Attempt): void => {
    if (openAttempts.size < 2) return;
    const nowMs = clock.monotonicMs();
    for (const attempt of reserve.active()) {
      if (attempt === answering) continue;
      // The caller has got the first byte from this one.
      if (answer.headSent) firstByteAtMs ??= attempt.firstByteAtMs();
      const cause = isSilent(attempt, router.loads, nowMs) ? 'silence' : 'aborted';
      if (!reserve.keep(attempt, cause)) discard(attempt, cause);
    }
    if (!reserve.isHolding()) progress.forgetEvents();
  };

  const releaseBody = (to: SendableDestination): void => {
    const hasAttemptsLeft = attemptBudget.hasRemaining();
    const use = { to, openAttempts: openAttempts.size, mayRepeat, hasAttemptsLeft };
    if (!isBodyDone(request, use)) return;
    dependencies.crashWatch.keepIdentity(request, plan);
    request.body.release();
  };

  const send = (to: SendableDestination, slotLease?: SlotLease): void => {
    const reservation =
      to.kind === 'peer' ? attemptBudget.reserveForPeer() : attemptBudget.reserveOne();
    answer.recordAttempts(attemptBudget.used());
    tried.recordSent(to);
    log.placed(to, openAttempts.size);
    const isHedge = openAttempts.size > 0;
    if (isHedge) progress.keepEvents();
    let crashWatched: CrashWatchedAttempt | undefined;
    let attempt: Attempt | undefined;
    const attemptFirstByteAtMs = () => attempt?.firstByteAtMs();
    if (to.kind === 'server') {
      router.recordAdmitted(plan, clock.monotonicMs());
      const target = { ...to, attempt: attemptBudget.used(), firstByteAtMs: attemptFirstByteAtMs };
      crashWatched = dependencies.crashWatch.watch(request, plan, target);
    }
    let earlyResult: AttemptResult | undefined;
    const started = startAttempt({
      ...dependencies,
      request,
      plan: isHedge ? { ...planOfNext(), isHedge } : planOfNext(),
      to,
      answer,
      progress,
      attemptsReserved: reservation.count,
      onRan: () => releaseBody(to),
      onPassingOn() {
        if (attempt !== undefined) keepOnly(attempt);
      },
      onResult(result) {
        // An attempt may end before `startAttempt` has returned it.
        if (attempt === undefined) earlyResult = result;
        else onResult(attempt, result);
      },
    });
    attempt = started;
    openAttempts.add(started, { reservation, crashWatched, slotLease });
    if (earlyResult !== undefined) onResult(started, earlyResult);
  };

  function tryNext(): void {
    const refusedForMs = dependencies.crashWatch.refusedForMs(request, plan);
    if (refusedForMs !== undefined) {
      end.giveUp('suspectedOfCrashes', refusedForMs);
      return;
    }
    const to = router.choose(request, planOfNext(), tried, clock.monotonicMs());
    if (to.kind === 'none') {
      // Where this region has no server for the request, it is served again only once another region takes it.
      const minRetryMs = to.basis === undefined ? (peerRetryAfterMs ?? 0) : 0;
      const retryAfterMs =
        to.retryAfterMs === undefined ? undefined : Math.max(to.retryAfterMs, minRetryMs);
      end.giveUp(end.mayHaveRun() ? lastFailure : to.reason, retryAfterMs, to);
      return;
    }
    if (to.kind === 'server') sendWithPermit(to);
    else send(to);
  }

  /**
   * Sends to a server if its limit allows it and, if it is brittle, it has a free slot; otherwise chooses another
   * destination. Also chooses again if the server has gone out of use while the answers were on their way.
   */
  function sendWithPermit(to: SendableDestination & { kind: 'server' }): void {
    const isNeeded = () => !end.isOver();
    askPermission({ ...dependencies, isNeeded }, to.server, (permission) => {
      switch (permission.kind) {
        case 'granted':
          send(to, permission.slotLease);
          return;
        case 'denied':
          if (permission.by === 'slot') slotDenials += 1;
          if (slotDenials < MAX_SLOT_DENIALS) tryNext();
          else end.giveUp('serversLimited', Math.max(REJECTED_RETRY_MS, router.waitMs(plan)));
          return;
        case 'unneeded':
          return;
        default:
          permission satisfies never;
      }
    });
  }

  /**
   * Ends the request at its deadline. While an attempt is in progress, only the end of its exchange
   * shows whether the request has been sent: if it were refused as `notRun` while a server runs it,
   * the caller would send it again and it would run twice.
   */
  const expire = (): void => {
    if (end.isOver()) return;
    isTimedOut = true;
    reserve[Symbol.dispose]();
    if (openAttempts.size === 0) end.giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else openAttempts.abortAll('timeout');
  };
  const deadline = clock.schedule(endAtMs(plan), expire);
  const mayNotHedge = (): boolean => {
    if (end.isOver() || isTimedOut || request.body.isReleased || !canBeFollowed()) return true;
    return reserve.isHolding() || dependencies.crashWatch.refusedForMs(request, plan) !== undefined;
  };
  const hedge = mayRepeat
    ? hedgeSilence({
        ...dependencies,
        request,
        planOfNext,
        attemptBudget,
        openAttempts,
        tried,
        mayNotHedge,
        send,
      })
    : undefined;

  function stopTimers(): void {
    deadline[Symbol.dispose]();
    hedge?.[Symbol.dispose]();
    reserve[Symbol.dispose]();
  }

  tryNext();
  return {
    cancel() {
      if (end.isOver()) return;
      log.callerGone();
      end.callerGone();
      openAttempts.discard(() => 'aborted');
    },
    expire,
  };
}
