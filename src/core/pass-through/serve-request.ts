import type { BrittleServers, SlotLease, SlotVerdict } from '../brittle-servers';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { Reachability } from '../reachability';
import type { PermitVerdict, ServerLimits } from '../server-limits';
import type { ServerNotices } from '../server-notices';
import type { KnownServer } from '../server-registry';
import type { RetryAllowance } from '../shared-budget';
import type { StreamVersions } from '../stream-versions';
import { destinationName, startAttempt } from './attempt';
import type { Attempt, AttemptResult } from './attempt';
import { createAttemptBudget } from './attempt-budget';
import type { CrashWatch, CrashWatchedAttempt } from './crash-watch';
import type { Router } from './create-router';
import { answerDeadlineMs, isRepeatable } from './forwarding';
import type { SendableDestination } from './observe-destination';
import { UNAVAILABLE_STATUS } from './observe-statements';
import { createRequestEnd } from './request-end';
import type { ServedRequest } from './request-end';
import { createRequestLog } from './request-log';
import { abortSilentAttempts } from './abort-silent-attempts';
import { recordBegunStream } from './resumed-stream';
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

/** Dependencies of `serveRequest`. */
export interface ServeDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly warmCheck: WarmCheck;
  readonly crashWatch: CrashWatch;
  readonly retries: RetryAllowance;
  /** Limits that backend servers name in their answers. */
  readonly limits: ServerLimits;
  /** What backend servers state in their answers about the requests after them. */
  readonly notices: ServerNotices;
  /** Servers that fail if they have to reject many requests. */
  readonly brittle: BrittleServers;
  /** Which servers this instance reaches. */
  readonly reachability: Reachability;
  /** Software versions that began the streams of callers. */
  readonly streamVersions: Pick<StreamVersions, 'find' | 'recordBegun'>;
  /** Whether a server that was chosen a moment ago may still get a request. */
  readonly mayReceive: (server: KnownServer) => boolean;
  /** Called when a server other than `serverId` has answered at its address. */
  readonly onReplaced: (serverId: string) => void;
  readonly onDone: (done: ServedRequest) => void;
  /** Called when a request was refused before any work was done for it. */
  readonly onRefused: (reason: RefusalReason, service: string) => void;
}

/** Handle of a request that is being served. */
export interface ServedHandle {
  /** Cancels the request because its caller has left. */
  cancel(): void;
}

/**
 * Maximum attempts that may fail before the request leaves this process; each uses another server.
 * The request is refused afterwards.
 */
const MAX_UNSENT_ATTEMPTS = 4;
/** Retry delay after servers could not be reached: they are tried again within this time. */
const UNSENT_RETRY_MS = 500;
/** Retry delay after a server was full: a slot of a busy server is free within this time. */
const REJECTED_RETRY_MS = 400;
/**
 * Maximum number of brittle servers that have no free slot, after which the request is refused; each answer takes a round
 * trip within the region.
 */
const MAX_SLOT_DENIALS = 3;
/** Retry delay after a timeout before anything was sent. */
const TIMED_OUT_RETRY_MS = 1_000;

/** Returns how many backend servers got the request in one attempt; undefined if that is unknown. */
function serversUsed(attempt: Attempt, result: AttemptResult): number | undefined {
  if (result.kind === 'neverSent') return 0;
  if (attempt.to.kind === 'server') return 1;
  // An instance that was lost midway may have continued with the request after its last report.
  return result.kind === 'lost' ? undefined : attempt.serversTriedThere();
}

/** Serves one request: sends it, passes its answer on, and retries where that is allowed and helps. */
export function serveRequest(
  dependencies: ServeDependencies,
  request: InboundRequest,
  plan: RequestPlan,
  answer: ClientAnswer,
): ServedHandle {
  const { clock, router, retries } = dependencies;
  const triedIds = new Set<string>();
  const refusingRegions = new Set<string>();
  const tried: TriedDestinations = { ids: triedIds, refusingRegions };
  const progress: StreamProgress = createStreamProgress(
    clock,
    request.lastEventId,
    (softwareVersion) => recordBegunStream(dependencies, request, plan, softwareVersion),
  );
  const mayRepeat = isRepeatable(plan);
  const attemptBudget = createAttemptBudget(plan.maxAttempts, mayRepeat);
  let current: Attempt | undefined;
  let crashWatchedAttempt: CrashWatchedAttempt | undefined;
  let slotLease: SlotLease | undefined;
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
  const planOfNext = (): RequestPlan =>
    progress.softwareVersion === undefined
      ? plan
      : { ...plan, streamVersion: progress.softwareVersion };

  /** Returns whether the request may be sent to one more server; takes that out of the retry budget. */
  const mayTryAgain = (): boolean =>
    !isTimedOut && attemptBudget.hasRemaining() && retries.take(plan.service, clock.monotonicMs());

  const afterLoss = (): void => {
    end.markMayHaveRun();
    lastFailure = 'serverFailed';
    if (mayRepeat && mayTryAgain()) tryNext();
    else end.giveUp(isTimedOut ? 'timedOut' : 'serverFailed', undefined);
  };

  const afterRejection = (): void => {
    lastFailure = 'serverRefused';
    if (mayTryAgain()) tryNext();
    else {
      const waitMs = router.waitMs(plan);
      end.giveUp('serverRefused', Math.max(REJECTED_RETRY_MS, waitMs));
    }
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
    lastFailure = 'overloaded';
    // If servers there have rejected the request, the next attempt is a retry; otherwise it is the
    // first one.
    const needsNoRetryBudget = isTimedOut || serversTried === 0;
    if (needsNoRetryBudget || mayTryAgain()) afterUnsent();
    else end.giveUp('overloaded', REJECTED_RETRY_MS);
  };

  const afterServerFailure = (
    attempt: Attempt,
    result: AttemptResult & { kind: 'serverFailed' },
  ): void => {
    end.keepFailureAnswer(() => {
      result.passOn();
      log.answered(attempt, result.status, firstByteAtMs);
    });
    lastFailure = 'serverFailed';
    if (mayRepeat && mayTryAgain()) tryNext();
    else end.giveUp('serverFailed', undefined);
  };

  const reportToCrashWatch = (attempt: Attempt, result: AttemptResult): void => {
    if (result.kind === 'answered') crashWatchedAttempt?.answered(result.status);
    else if (result.kind === 'lost' && result.wasBrokenOff) {
      crashWatchedAttempt?.reset(attempt.firstByteAtMs());
    } else crashWatchedAttempt?.ended();
    crashWatchedAttempt = undefined;
  };

  /** Gives the slot of the attempt back; `wasRejected` if the server had no room for the request. */
  const releaseSlot = (wasRejected: boolean): void => {
    slotLease?.release(wasRejected);
    slotLease = undefined;
  };

  const onResult = (attempt: Attempt, result: AttemptResult): void => {
    current = undefined;
    releaseSlot(result.kind === 'rejected' && result.status === UNAVAILABLE_STATUS);
    reportToCrashWatch(attempt, result);
    firstByteAtMs ??= attempt.firstByteAtMs();
    attemptBudget.settle(serversUsed(attempt, result));
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
        log.rejected(attempt, result.status, result.pauseMs);
        afterRejection();
        return;
      case 'peerRefused':
        log.peerRefused(attempt, result.statedReason);
        // An instance without links refuses for itself; others of its region may reach the servers.
        if (attempt.to.kind === 'peer' && result.reason !== 'serversUnreachable') {
          refusingRegions.add(attempt.to.peer.region);
        }
        if (result.retryAfterMs !== undefined) {
          peerRetryAfterMs = Math.min(peerRetryAfterMs ?? Infinity, result.retryAfterMs);
        }
        if (result.hasNotRun && result.reason === 'suspectedOfCrashes') {
          // That instance knows of crashes that this one has not heard of.
          end.giveUp('suspectedOfCrashes', result.retryAfterMs);
          return;
        }
        afterPeerRefusal(result.hasNotRun, attempt.serversTriedThere());
        return;
      case 'serverFailed':
        log.attemptFailed(attempt, 'the server failed', { status: result.status });
        afterServerFailure(attempt, result);
        return;
      case 'lost':
        log.attemptFailed(attempt, result.reason, { cause: result.cause });
        afterLoss();
        return;
      default:
        result satisfies never;
    }
  };

  const send = (to: SendableDestination): void => {
    const attemptsReserved =
      to.kind === 'peer' ? attemptBudget.reserveForPeer() : attemptBudget.reserveOne();
    answer.recordAttempts(attemptBudget.used());
    triedIds.add(destinationName(to));
    log.placed(to);
    if (to.kind === 'server') {
      const { server, maxConnections } = to;
      router.recordAdmitted(plan, clock.monotonicMs());
      const target = { server, maxConnections, attempt: attemptBudget.used() };
      crashWatchedAttempt = dependencies.crashWatch.watch(request, plan, target);
    }
    let earlyResult: AttemptResult | undefined;
    const attempt: Attempt = startAttempt({
      ...dependencies,
      request,
      plan: planOfNext(),
      to,
      answer,
      progress,
      attemptsReserved,
      onResult(result) {
        // An attempt may end before `startAttempt` has returned it.
        if (current === undefined) earlyResult = result;
        else onResult(current, result);
      },
    });
    current = attempt;
    if (earlyResult !== undefined) onResult(attempt, earlyResult);
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
      end.giveUp(end.mayHaveRun() ? lastFailure : to.reason, retryAfterMs, to.basis);
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
    const decideSlot = (verdict: SlotVerdict): void => {
      const lease = verdict.kind === 'granted' ? verdict.lease : undefined;
      if (end.isOver() || lease === undefined || !dependencies.mayReceive(to.server)) {
        lease?.release(false);
        if (lease === undefined) slotDenials += 1;
        if (end.isOver()) return;
        if (slotDenials < MAX_SLOT_DENIALS) tryNext();
        else end.giveUp('serversLimited', Math.max(REJECTED_RETRY_MS, router.waitMs(plan)));
        return;
      }
      slotLease = lease;
      send(to);
    };
    const decide = (verdict: PermitVerdict): void => {
      if (end.isOver()) return;
      if (verdict.kind === 'granted') dependencies.brittle.requestSlot(to.server, decideSlot);
      else tryNext();
    };
    dependencies.limits.requestPermit(to.server.incarnationId, decide);
  }

  /**
   * Ends the request at its deadline. While an attempt is in progress, only the end of its exchange
   * shows whether the request has been sent: if it were refused as `notRun` while a server runs it,
   * the caller would send it again and it would run twice.
   */
  const deadline = clock.schedule(answerDeadlineMs(plan), () => {
    isTimedOut = true;
    if (current === undefined) end.giveUp('timedOut', TIMED_OUT_RETRY_MS);
    else current.abort('timeout');
  });
  const silence = abortSilentAttempts({
    clock,
    loads: router.loads,
    current: () => (mayRepeat && attemptBudget.hasRemaining() ? current : undefined),
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
      crashWatchedAttempt?.ended();
      releaseSlot(false);
      current?.forget();
      current?.abort('aborted');
    },
  };
}
