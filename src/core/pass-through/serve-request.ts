import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { RetryAllowance } from '../shared-budget';
import { destinationName, startAttempt } from './attempt';
import type { Attempt, AttemptResult } from './attempt';
import type { CrashWatch, CrashWatchedTry } from './crash-watch';
import type { Router } from './create-router';
import { answerByMs, isRepeatable } from './forwarding';
import type { SendableDestination } from './observe-destination';
import { createRequestLog } from './request-log';
import { watchForSilence } from './silence-watch';
import { createStreamProgress } from './stream-progress';
import type { StreamProgress } from './stream-progress';
import type {
  ClientAnswer,
  HeaderDialect,
  InboundRequest,
  Refusal,
  RefusalReason,
  RequestPlan,
  TriedDestinations,
} from './types';
import type { WarmCheck } from './warm-check';

/** What serving needs. */
export interface ServeDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly warmCheck: WarmCheck;
  readonly crashWatch: CrashWatch;
  readonly retries: RetryAllowance;
  /** Another server has answered at the address of this one. */
  readonly onReplaced: (serverId: string) => void;
  readonly onDone: (done: ServedRequest) => void;
}

/** How a request ended, for counts and latencies. */
export interface ServedRequest {
  readonly plan: RequestPlan;
  readonly result: 'answered' | 'brokenOff' | 'callerGone' | RefusalReason;
  readonly firstByteMs: number;
  readonly totalMs: number;
  /** Backend servers that it has been sent to, those that another instance told of included. */
  readonly attempts: number;
}

/** A request that is being served. */
export interface ServedHandle {
  /** The caller has left: work for it is given up. */
  cancel(): void;
}

/** Tries that never left this process before a request is refused; each names another server. */
const MOST_UNSENT = 4;
/** When to come back after servers could not be reached: they are tried again within this time. */
const UNSENT_RETRY_MS = 500;
/** When to come back after a server that was full: a slot of a busy server is free within this time. */
const REJECTED_RETRY_MS = 400;
/** When to come back after time ran out before anything was sent. */
const TIMED_OUT_RETRY_MS = 1_000;

/** Serves one request: sends it, passes its answer on, tries again where that is allowed and helps. */
export function serveRequest(
  needs: ServeDependencies,
  request: InboundRequest,
  plan: RequestPlan,
  answer: ClientAnswer,
): ServedHandle {
  const { clock, router, retries } = needs;
  const triedIds = new Set<string>();
  const refusingRegions = new Set<string>();
  const tried: TriedDestinations = { ids: triedIds, refusingRegions };
  const progress: StreamProgress = createStreamProgress(clock, request.lastEventId);
  const mayRepeat = isRepeatable(plan);
  let current: Attempt | undefined;
  let watched: CrashWatchedTry | undefined;
  /** Servers that the request has been sent to. */
  let attempts = 0;
  /** Those that other instances have sent it to beyond the first, as far as they told. */
  let attemptsElsewhere = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let isOver = false;
  let isTimedOut = false;
  let firstByteAtMs: number | undefined;
  let lastFailure: RefusalReason = 'noServer';

  const log = createRequestLog({
    clock,
    logger: needs.logger,
    request,
    plan,
    progress,
    attempts: () => attempts,
  });

  const finish = (result: ServedRequest['result']): void => {
    isOver = true;
    stopTimers();
    const nowMs = clock.monotonicMs();
    const firstByteMs = (firstByteAtMs ?? nowMs) - request.receivedAtMs;
    const totalMs = nowMs - request.receivedAtMs;
    needs.onDone({
      plan,
      result,
      firstByteMs,
      totalMs,
      attempts: attempts + attemptsElsewhere,
    });
  };

  const refuse = (
    reason: RefusalReason,
    retryAfterMs: number | undefined,
    predictedMs?: number,
  ): void => {
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    const refusal: Refusal = {
      reason,
      outcome,
      retryAfterMs: outcome === 'notRun' ? retryAfterMs : undefined,
    };
    answer.noteAttempts(attempts);
    answer.refuse(refusal);
    log.refused(refusal, predictedMs);
    finish(reason);
  };

  const giveUp = (
    reason: RefusalReason,
    retryAfterMs: number | undefined,
    predictedMs?: number,
  ): void => {
    if (!answer.headSent) {
      refuse(reason, retryAfterMs, predictedMs);
      return;
    }
    answer.breakOff();
    log.brokenOff(reason);
    finish('brokenOff');
  };

  /** Whether the request may be sent to one more server; takes that out of the budget. */
  const mayTryAgain = (): boolean =>
    !isTimedOut && attempts < plan.maxAttempts && retries.take(plan.service, clock.monotonicMs());

  const afterLoss = (): void => {
    mayHaveRun = true;
    lastFailure = 'serverFailed';
    if (mayRepeat && mayTryAgain()) tryNext();
    else giveUp(isTimedOut ? 'timedOut' : 'serverFailed', undefined);
  };

  const afterRejection = (): void => {
    lastFailure = 'serverRefused';
    if (mayTryAgain()) tryNext();
    else giveUp('serverRefused', REJECTED_RETRY_MS);
  };

  const afterUnsent = (): void => {
    attempts -= 1;
    unsent += 1;
    if (isTimedOut) giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else if (unsent < MOST_UNSENT) tryNext();
    else giveUp('noServer', UNSENT_RETRY_MS);
  };

  const afterPeerRefusal = (hasNotRun: boolean): void => {
    if (hasNotRun) {
      lastFailure = 'overloaded';
      // It may have tried servers of its own that rejected the request, so a next try is a repeat to those.
      if (!isTimedOut && !retries.take(plan.service, clock.monotonicMs())) {
        giveUp('overloaded', REJECTED_RETRY_MS);
        return;
      }
      afterUnsent();
      return;
    }
    // The other instance has used up all attempts that the request had left.
    attempts = plan.maxAttempts;
    afterLoss();
  };

  const afterServerFailure = (
    attempt: Attempt,
    result: AttemptResult & { kind: 'serverFailed' },
  ): void => {
    if (mayRepeat && mayTryAgain()) {
      mayHaveRun = true;
      tryNext();
      return;
    }
    result.passOn();
    log.answered(attempt, result.status, firstByteAtMs);
    finish('answered');
  };

  const tellCrashWatch = (result: AttemptResult): void => {
    if (result.kind === 'answered') watched?.answered();
    else if (result.kind === 'lost' && result.wasReset) watched?.reset();
    else watched?.ended();
    watched = undefined;
  };

  const onResult = (attempt: Attempt, result: AttemptResult): void => {
    current = undefined;
    tellCrashWatch(result);
    firstByteAtMs ??= attempt.firstByteAtMs();
    attemptsElsewhere += Math.max(0, (attempt.serversTriedThere() ?? 1) - 1);
    switch (result.kind) {
      case 'answered':
        log.answered(attempt, result.status, firstByteAtMs);
        finish('answered');
        return;
      case 'neverSent':
        log.attemptFailed(attempt, result.reason);
        afterUnsent();
        return;
      case 'rejected':
        log.attemptFailed(attempt, 'the server says that it has not run the request');
        afterRejection();
        return;
      case 'peerRefused':
        log.attemptFailed(attempt, 'the other instance refused the request');
        if (attempt.to.kind === 'peer') refusingRegions.add(attempt.to.peer.region);
        afterPeerRefusal(result.hasNotRun);
        return;
      case 'serverFailed':
        log.attemptFailed(attempt, 'the server failed', result.status);
        afterServerFailure(attempt, result);
        return;
      case 'lost':
        log.attemptFailed(attempt, result.reason);
        afterLoss();
        return;
      default:
        result satisfies never;
    }
  };

  const send = (to: SendableDestination): void => {
    attempts += 1;
    answer.noteAttempts(attempts);
    triedIds.add(destinationName(to));
    log.placed(to);
    if (to.kind === 'server') {
      const { server, mostConnections } = to;
      const target = { server, mostConnections, attempt: attempts };
      watched = needs.crashWatch.watch(request, plan, target);
    }
    let early: AttemptResult | undefined;
    const attempt: Attempt = startAttempt({
      ...needs,
      request,
      plan,
      to,
      answer,
      progress,
      attemptsLeft: Math.max(1, plan.maxAttempts - attempts + 1),
      onResult(result) {
        // A try that ends before it has begun has no name here yet.
        if (current === undefined) early = result;
        else onResult(current, result);
      },
    });
    current = attempt;
    if (early !== undefined) onResult(attempt, early);
  };

  function tryNext(): void {
    const refusedUntilUnixMs = needs.crashWatch.refusedUntilUnixMs(request, plan);
    if (refusedUntilUnixMs !== undefined) {
      giveUp('suspectedOfCrashes', refusedUntilUnixMs - clock.unixMs());
      return;
    }
    const to = router.choose(request, plan, tried, clock.monotonicMs());
    if (to.kind === 'none') {
      giveUp(mayHaveRun ? lastFailure : to.reason, to.retryAfterMs, to.predictedMs);
      return;
    }
    send(to);
  }

  /**
   * Time is up. While a request is out, only the end of its exchange shows whether it has left: one that is
   * refused as "not run" from here while a server runs it would be sent again by its caller, and run twice.
   */
  const deadline = clock.schedule(answerByMs(plan), () => {
    isTimedOut = true;
    if (current === undefined) giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else current.abort('timeout');
  });
  const silence = watchForSilence({
    clock,
    loads: router.loads,
    current: () => (mayRepeat && attempts < plan.maxAttempts ? current : undefined),
  });

  function stopTimers(): void {
    deadline[Symbol.dispose]();
    silence[Symbol.dispose]();
  }

  tryNext();
  return {
    cancel() {
      if (isOver) return;
      log.callerGone();
      finish('callerGone');
      watched?.ended();
      current?.forget();
      current?.abort('aborted');
    },
  };
}
