import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { RetryAllowance } from '../shared-budget';
import type { StreamProgress } from './answer-reader';
import { destinationName, startAttempt } from './attempt';
import type { Attempt, AttemptResult } from './attempt';
import type { CrashWatch, CrashWatchedTry } from './crash-watch';
import type { Router } from './create-router';
import { PASS_THROUGH_EVENTS } from './events';
import { answerByMs, isRepeatable, requestFields } from './forwarding';
import type { SendableDestination } from './observe-destination';
import { watchForSilence } from './silence-watch';
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
  const { clock, logger, router, retries } = needs;
  const triedIds = new Set<string>();
  const refusingRegions = new Set<string>();
  const tried: TriedDestinations = { ids: triedIds, refusingRegions };
  const progress: StreamProgress = createProgress(clock, request.lastEventId);
  const mayRepeat = isRepeatable(plan);
  let current: Attempt | undefined;
  let watched: CrashWatchedTry | undefined;
  /** Servers that the request has been sent to. */
  let attempts = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let isOver = false;
  let isTimedOut = false;
  let firstByteAtMs: number | undefined;
  let lastFailure: RefusalReason = 'noServer';

  const fields = () => ({ ...requestFields(request, plan), attempts });
  const elapsedMs = () => Math.round(clock.monotonicMs() - request.receivedAtMs);

  const finish = (result: ServedRequest['result']): void => {
    isOver = true;
    stopTimers();
    const nowMs = clock.monotonicMs();
    const firstByteMs = (firstByteAtMs ?? nowMs) - request.receivedAtMs;
    needs.onDone({ plan, result, firstByteMs, totalMs: nowMs - request.receivedAtMs });
  };

  const refuse = (reason: RefusalReason, retryAfterMs: number | undefined): void => {
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    const refusal: Refusal = {
      reason,
      outcome,
      retryAfterMs: outcome === 'notRun' ? retryAfterMs : undefined,
    };
    answer.refuse(refusal);
    logger.event(PASS_THROUGH_EVENTS.refused, {
      ...fields(),
      ...refusal,
      totalMs: elapsedMs(),
    });
    finish(reason);
  };

  const giveUp = (reason: RefusalReason, retryAfterMs: number | undefined): void => {
    if (!answer.headSent) {
      refuse(reason, retryAfterMs);
      return;
    }
    answer.breakOff();
    const { events } = progress;
    logger.event(PASS_THROUGH_EVENTS.brokenOff, {
      ...fields(),
      reason,
      events,
      totalMs: elapsedMs(),
    });
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

  const logFailure = (attempt: Attempt, reason: string, status?: number): void =>
    logger.event(PASS_THROUGH_EVENTS.attemptFailed, {
      ...fields(),
      to: destinationName(attempt.to),
      reason,
      status,
      afterMs: Math.round(clock.monotonicMs() - attempt.sentAtMs),
    });

  const logAnswered = (attempt: Attempt, status: number): void =>
    logger.event(PASS_THROUGH_EVENTS.answered, {
      ...fields(),
      to: destinationName(attempt.to),
      status,
      events: progress.events,
      longestPauseMs: Math.round(progress.longestPauseMs),
      objectiveMs: plan.objectiveMs,
      pauseObjectiveMs: plan.pauseObjectiveMs,
      firstByteMs: Math.round((firstByteAtMs ?? request.receivedAtMs) - request.receivedAtMs),
      totalMs: elapsedMs(),
    });

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
    logAnswered(attempt, result.status);
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
    switch (result.kind) {
      case 'answered':
        logAnswered(attempt, result.status);
        finish('answered');
        return;
      case 'neverSent':
        logFailure(attempt, result.reason);
        afterUnsent();
        return;
      case 'rejected':
        logFailure(attempt, 'the server says that it has not run the request');
        afterRejection();
        return;
      case 'peerRefused':
        logFailure(attempt, 'the other instance refused the request');
        if (attempt.to.kind === 'peer') refusingRegions.add(attempt.to.peer.region);
        afterPeerRefusal(result.hasNotRun);
        return;
      case 'serverFailed':
        logFailure(attempt, 'the server failed', result.status);
        afterServerFailure(attempt, result);
        return;
      case 'lost':
        logFailure(attempt, result.reason);
        afterLoss();
        return;
      default:
        result satisfies never;
    }
  };

  const send = (to: SendableDestination): void => {
    attempts += 1;
    triedIds.add(destinationName(to));
    const predicted =
      to.kind === 'server'
        ? {
            predictedMs: Math.round(to.predictedMs),
            tokens: Math.round(to.tokens),
            promptTokens: request.demand?.promptTokens,
            pendingTokens: Math.round(to.pendingTokens),
            load: Math.round(to.load),
            copyFrom: to.copyFrom?.serverId,
          }
        : { toRegion: to.peer.region };
    logger.event(PASS_THROUGH_EVENTS.placed, {
      ...fields(),
      ...predicted,
      to: destinationName(to),
      timeLeftMs: Math.round(answerByMs(plan) - clock.monotonicMs()),
    });
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
    if (to.kind === 'none') giveUp(mayHaveRun ? lastFailure : to.reason, to.retryAfterMs);
    else send(to);
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
      const { events } = progress;
      logger.event(PASS_THROUGH_EVENTS.callerGone, { ...fields(), events, totalMs: elapsedMs() });
      finish('callerGone');
      watched?.ended();
      current?.forget();
      current?.abort('aborted');
    },
  };
}

function createProgress(clock: Clock, lastEventId: string | undefined): StreamProgress {
  let events = 0;
  let lastEventAtMs: number | undefined;
  let longestPauseMs = 0;
  let lastId = lastEventId;
  return {
    get events() {
      return events;
    },
    get lastEventId() {
      return lastId;
    },
    get longestPauseMs() {
      return longestPauseMs;
    },
    note(eventId) {
      const nowMs = clock.monotonicMs();
      longestPauseMs = Math.max(longestPauseMs, nowMs - (lastEventAtMs ?? nowMs));
      lastEventAtMs = nowMs;
      events += 1;
      lastId = eventId ?? lastId;
    },
  };
}
