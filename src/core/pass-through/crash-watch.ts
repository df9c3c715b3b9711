import type { Clock } from '../clock';
import type { SuspectParts } from '../crash-causes';
import type { Logger } from '../events';
import { POISON_EVENTS } from '../poison';
import type { PoisonGuard, WatchedTry } from '../poison';
import type { KnownServer } from '../server-registry';
import type { CrashInvestigations } from './investigate-crash';
import type { InboundRequest, RequestPlan } from './types';

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
  /**
   * The connection was reset before the answer was complete; `firstByteAtMs` is the time of the first byte of its body,
   * monotonic ms, and undefined if there was none.
   */
  reset(firstByteAtMs: number | undefined): void;
  /** The attempt ended in a way that does not indicate a crash. */
  ended(): void;
}

/** Options of `createCrashWatch`. */
export interface CrashWatchOptions {
  readonly clock: Pick<Clock, 'unixMs' | 'monotonicMs'>;
  readonly logger: Logger;
  readonly suspectParts: SuspectParts;
  readonly guard: Pick<PoisonGuard, 'verdict' | 'watch'>;
  readonly investigations: Pick<CrashInvestigations, 'begin'>;
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
 * A reset connection does not prove a crash: some servers lose single answers, and the links of this
 * instance may be cut. Counting those as crashes would refuse harmless requests that many callers send.
 * So after a reset it is first found out whether the server crashed.
 */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { clock, logger, suspectParts, guard, investigations, regions } = options;

  const recordIfCrashed = (
    { requestId, demand }: InboundRequest,
    watched: WatchedTry,
    target: CrashTarget,
    firstByteAtMs: number | undefined,
  ): void => {
    const { server, maxConnections } = target;
    const resetAtUnixMs = clock.unixMs();
    const answeredForMs =
      firstByteAtMs === undefined ? undefined : Math.round(clock.monotonicMs() - firstByteAtMs);
    investigations.begin(server, maxConnections, (verdict) => {
      const evidence = verdict.kind === 'crashed' ? verdict.evidence : undefined;
      logger.event(POISON_EVENTS.checked, {
        requestId,
        server: server.incarnationId,
        result: verdict.kind,
        evidence,
        afterMs: clock.unixMs() - resetAtUnixMs,
        answeredForMs,
        parts: suspectParts(demand),
      });
      if (verdict.kind === 'crashed') {
        watched.failed({ kind: 'lostAfterSending', cause: 'reset' }, resetAtUnixMs);
      } else {
        watched.abandoned();
      }
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
        reset: (firstByteAtMs) => recordIfCrashed(request, watched, target, firstByteAtMs),
        ended: () => watched.abandoned(),
      };
    },
  };
}
