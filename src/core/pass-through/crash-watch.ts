import type { PoisonGuard, WatchedTry } from '../poison';
import type { KnownServer } from '../server-registry';
import type { InboundRequest, RequestPlan } from './types';
import type { WarmCheck } from './warm-check';

/** Knows requests that crash each server that runs them, by what their tries come to. */
export interface CrashWatch {
  /** Until when the request is refused, Unix ms; undefined where it is not. */
  refusedUntilUnixMs(request: InboundRequest, plan: RequestPlan): number | undefined;
  /** Watches one try at a server. */
  watch(request: InboundRequest, plan: RequestPlan, target: CrashTarget): CrashWatchedTry;
}

/** One try that is about to be sent. */
export interface CrashTarget {
  readonly server: KnownServer;
  readonly attempt: number;
  readonly mostConnections: number;
}

/** A try under way. */
export interface CrashWatchedTry {
  /** The whole answer came. */
  answered(): void;
  /** The connection was reset before the answer was whole. */
  reset(): void;
  /** It ended in a way that says nothing of a crash. */
  ended(): void;
}

/** What the watch is made from. */
export interface CrashWatchOptions {
  readonly guard: Pick<PoisonGuard, 'verdict' | 'watch'>;
  readonly check: Pick<WarmCheck, 'ask'>;
  /** All regions of the deployment, for requests that are bound to none. */
  readonly regions: () => readonly string[];
}

function guarded(request: InboundRequest, { service, account = '' }: RequestPlan, attempt: number) {
  const { requestId, method, path, body } = request;
  const caller = { id: account };
  return { requestId, attempt, service: { name: service }, caller, method, path, body };
}

/**
 * A watch over the guard's ledger.
 *
 * A server that resets a connection has not always crashed: some lose single answers. Taken for a crash, that would
 * refuse sound requests that many callers send. So after a reset the server is asked for a sign of life first, and only
 * one that gives none counts as crashed.
 */
export function createCrashWatch({ guard, check, regions }: CrashWatchOptions): CrashWatch {
  const noteIfCrashed = (watched: WatchedTry, target: CrashTarget): void => {
    check.ask(target.server, target.mostConnections, (result) => {
      const isGone = result.kind === 'unanswered' || result.kind === 'replaced';
      if (isGone) watched.failed({ kind: 'lostAfterSending', cause: 'reset' });
      else watched.abandoned();
    });
  };

  return {
    refusedUntilUnixMs(request, plan) {
      const verdict = guard.verdict(guarded(request, plan, 0));
      return verdict.kind === 'refused' ? verdict.untilUnixMs : undefined;
    },
    watch(request, plan, target) {
      const mayKnow = plan.homeRegions.length === 0 ? regions() : plan.homeRegions;
      const asked = guarded(request, plan, target.attempt);
      const watched = guard.watch(asked, target.server.incarnationId, mayKnow);
      return {
        answered: () => watched.answered(),
        reset: () => noteIfCrashed(watched, target),
        ended: () => watched.abandoned(),
      };
    },
  };
}
