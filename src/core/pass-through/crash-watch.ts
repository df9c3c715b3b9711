import type { Logger } from '../events';
import { POISON_EVENTS } from '../poison';
import type { PoisonGuard, WatchedTry } from '../poison';
import type { KnownServer } from '../server-registry';
import type { InboundRequest, RequestPlan } from './types';
import type { WarmCheck } from './warm-check';

/** Detects requests that crash each server that runs them, from the results of their attempts. */
export interface CrashWatch {
  /** Returns the time until which the request is refused, Unix ms; undefined if it is not refused. */
  refusedUntilUnixMs(request: InboundRequest, plan: RequestPlan): number | undefined;
  /** Watches one attempt at a server. */
  watch(request: InboundRequest, plan: RequestPlan, target: CrashTarget): CrashWatchedAttempt;
}

/** Server and number of an attempt that is about to be sent. */
export interface CrashTarget {
  readonly server: KnownServer;
  /** Number of the attempt among those of its request, from 1. */
  readonly attempt: number;
  readonly maxConnections: number;
}

/** A watched attempt that is in progress. */
export interface CrashWatchedAttempt {
  /** The complete answer arrived. */
  answered(): void;
  /** The connection was reset before the answer was complete. */
  reset(): void;
  /** The attempt ended in a way that does not indicate a crash. */
  ended(): void;
}

/** Options of `createCrashWatch`. */
export interface CrashWatchOptions {
  readonly logger: Logger;
  readonly guard: Pick<PoisonGuard, 'verdict' | 'watch'>;
  readonly warmCheck: Pick<WarmCheck, 'ask'>;
  /** All regions of the deployment; used for requests without home regions. */
  readonly regions: () => readonly string[];
}

function toGuardedRequest(
  request: InboundRequest,
  { service, account = '' }: RequestPlan,
  attempt: number,
) {
  const { requestId, method, path, body } = request;
  const caller = { id: account };
  return { requestId, attempt, service: { name: service }, caller, method, path, body };
}

/**
 * Creates a crash watch that reports to the poison guard.
 *
 * A reset connection does not prove a crash: some servers lose single answers. Counting those as
 * crashes would refuse harmless requests that many callers send. So after a reset the server gets a
 * health check, and only counts as crashed if it does not answer or another server has replaced it.
 */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { logger, guard, warmCheck, regions } = options;

  const recordIfCrashed = (requestId: string, watched: WatchedTry, target: CrashTarget): void => {
    const { server, maxConnections } = target;
    warmCheck.ask(server, maxConnections, (result) => {
      logger.event(POISON_EVENTS.checked, {
        requestId,
        server: server.incarnationId,
        result: result.kind,
        reason: result.kind === 'unanswered' ? result.reason : undefined,
      });
      const isGone = result.kind === 'unanswered' || result.kind === 'replaced';
      if (isGone) watched.failed({ kind: 'lostAfterSending', cause: 'reset' });
      else watched.abandoned();
    });
  };

  return {
    refusedUntilUnixMs(request, plan) {
      const verdict = guard.verdict(toGuardedRequest(request, plan, 0));
      return verdict.kind === 'refused' ? verdict.untilUnixMs : undefined;
    },
    watch(request, plan, target) {
      const allowedRegions = plan.homeRegions.length === 0 ? regions() : plan.homeRegions;
      const guardedRequest = toGuardedRequest(request, plan, target.attempt);
      const watched = guard.watch(guardedRequest, target.server.incarnationId, allowedRegions);
      return {
        answered: () => watched.answered(),
        reset: () => recordIfCrashed(request.requestId, watched, target),
        ended: () => watched.abandoned(),
      };
    },
  };
}
