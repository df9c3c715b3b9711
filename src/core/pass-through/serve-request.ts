import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { RetryAllowance } from '../shared-budget';
import { destinationName, startAttempt } from './attempt';
import type { Attempt, AttemptResult } from './attempt';
import { createAttemptAccount } from './attempt-account';
import type { CrashWatch, CrashWatchedTry } from './crash-watch';
import type { Router } from './create-router';
import { answerByMs, isRepeatable } from './forwarding';
import type { SendableDestination } from './observe-destination';
import { createRequestEnd } from './request-end';
import type { ServedRequest } from './request-end';
import { createRequestLog } from './request-log';
import { watchForSilence } from './silence-watch';
import { createStreamProgress } from './stream-progress';
import type { StreamProgress } from './stream-progress';
import type {
  ClientAnswer,
  HeaderDialect,
  InboundRequest,
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
  /** A request was refused before anything was done for it. */
  readonly onRefused: (reason: RefusalReason, service: string) => void;
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

/** Backend servers that got the request in one try; undefined where nobody can tell. */
function serversUsed(attempt: Attempt, result: AttemptResult): number | undefined {
  if (result.kind === 'neverSent') return 0;
  if (attempt.to.kind === 'server') return 1;
  // An instance that was lost midway may have gone on with the request after it last told.
  return result.kind === 'lost' ? undefined : attempt.serversTriedThere();
}

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
  const account = createAttemptAccount(plan.maxAttempts, mayRepeat);
  let current: Attempt | undefined;
  let watched: CrashWatchedTry | undefined;
  let unsent = 0;
  let isTimedOut = false;
  let firstByteAtMs: number | undefined;
  let lastFailure: RefusalReason = 'noServer';

  const log = createRequestLog({
    clock,
    logger: needs.logger,
    request,
    plan,
    progress,
    attempts: account.used,
  });
  const end = createRequestEnd({
    clock,
    request,
    plan,
    answer,
    log,
    attempts: account.used,
    firstByteAtMs: () => firstByteAtMs,
    onDone(done) {
      stopTimers();
      needs.onDone(done);
    },
  });

  /** Whether the request may be sent to one more server; takes that out of the budget. */
  const mayTryAgain = (): boolean =>
    !isTimedOut && account.hasLeft() && retries.take(plan.service, clock.monotonicMs());

  const afterLoss = (): void => {
    end.noteMayHaveRun();
    lastFailure = 'serverFailed';
    if (mayRepeat && mayTryAgain()) tryNext();
    else end.giveUp(isTimedOut ? 'timedOut' : 'serverFailed', undefined);
  };

  const afterRejection = (): void => {
    lastFailure = 'serverRefused';
    if (mayTryAgain()) tryNext();
    else end.giveUp('serverRefused', REJECTED_RETRY_MS);
  };

  const afterUnsent = (): void => {
    unsent += 1;
    if (isTimedOut) end.giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else if (unsent < MOST_UNSENT) tryNext();
    else end.giveUp('noServer', UNSENT_RETRY_MS);
  };

  const afterPeerRefusal = (hasNotRun: boolean, serversTried: number | undefined): void => {
    if (!hasNotRun) {
      afterLoss();
      return;
    }
    lastFailure = 'overloaded';
    // Where servers there have rejected the request, a next try is a repeat to those; otherwise it is the first one.
    const isFree = isTimedOut || serversTried === 0;
    if (isFree || mayTryAgain()) afterUnsent();
    else end.giveUp('overloaded', REJECTED_RETRY_MS);
  };

  const afterServerFailure = (
    attempt: Attempt,
    result: AttemptResult & { kind: 'serverFailed' },
  ): void => {
    end.keepFailure(() => {
      result.passOn();
      log.answered(attempt, result.status, firstByteAtMs);
    });
    lastFailure = 'serverFailed';
    if (mayRepeat && mayTryAgain()) tryNext();
    else end.giveUp('serverFailed', undefined);
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
    account.settle(serversUsed(attempt, result));
    switch (result.kind) {
      case 'answered':
        log.answered(attempt, result.status, firstByteAtMs);
        end.answered();
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
        afterPeerRefusal(result.hasNotRun, attempt.serversTriedThere());
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
    const attemptsLent = to.kind === 'peer' ? account.lend() : account.take();
    answer.noteAttempts(account.used());
    triedIds.add(destinationName(to));
    log.placed(to);
    if (to.kind === 'server') {
      const { server, mostConnections } = to;
      const target = { server, mostConnections, attempt: account.used() };
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
      attemptsLent,
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
      end.giveUp('suspectedOfCrashes', refusedUntilUnixMs - clock.unixMs());
      return;
    }
    const to = router.choose(request, plan, tried, clock.monotonicMs());
    if (to.kind === 'none') {
      end.giveUp(end.mayHaveRun() ? lastFailure : to.reason, to.retryAfterMs, to.best);
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
    if (current === undefined) end.giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else current.abort('timeout');
  });
  const silence = watchForSilence({
    clock,
    loads: router.loads,
    current: () => (mayRepeat && account.hasLeft() ? current : undefined),
  });

  function stopTimers(): void {
    deadline[Symbol.dispose]();
    silence[Symbol.dispose]();
  }

  tryNext();
  return {
    cancel() {
      if (end.isOver()) return;
      log.callerGone();
      end.callerGone();
      watched?.ended();
      current?.forget();
      current?.abort('aborted');
    },
  };
}
