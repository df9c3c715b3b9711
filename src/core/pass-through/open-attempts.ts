import type { SlotLease } from '../brittle-servers';
import type { AbortCause } from '../outcomes';
import type { Attempt } from './attempt-types';
import type { AttemptReservation } from './attempt-budget';
import type { AttemptResult, FailedAttempt } from './attempt-result';
import type { CrashWatchedAttempt } from './crash-watch';
import { UNAVAILABLE_STATUS } from './observe-statements';

/** What an attempt holds until it ends. */
export interface HeldByAttempt {
  readonly reservation: AttemptReservation;
  /** Undefined at another instance, which watches its own attempts. */
  readonly crashWatched: CrashWatchedAttempt | undefined;
  /** Slot of a brittle server. */
  readonly slotLease: SlotLease | undefined;
}

/** Attempts of one request that are in progress, the earliest first. */
export interface OpenAttempts {
  readonly size: number;
  list(): readonly Attempt[];
  add(attempt: Attempt, held: HeldByAttempt): void;
  /** Removes an attempt that has ended, and releases what it holds. */
  end(attempt: Attempt, result: AttemptResult): void;
  /** Aborts all attempts; their results are still reported. */
  abortAll(cause: AbortCause): void;
  /** Discards all attempts that `isUnneeded` names, for the cause that it returns. */
  discard(isUnneeded: (attempt: Attempt) => AbortCause | undefined): void;
}

/** Returns how many backend servers got the request in one attempt; undefined if that is unknown. */
function serversUsed(attempt: Attempt, result: AttemptResult): number | undefined {
  if (result.kind === 'neverSent') return 0;
  if (attempt.to.kind === 'server') return 1;
  // An instance that was lost midway may have continued with the request after its last report.
  return result.kind === 'lost' ? undefined : attempt.serversTriedThere();
}

/** Returns whether a failed attempt is known to have reached no backend server. */
export function hasReachedNoServer(attempt: Attempt, result: FailedAttempt): boolean {
  return serversUsed(attempt, result) === 0;
}

function reportToCrashWatch(
  watched: CrashWatchedAttempt | undefined,
  attempt: Attempt,
  result: AttemptResult,
): void {
  if (result.kind === 'answered') watched?.answered(result.status);
  else if (result.kind === 'lost' && result.wasBrokenOff) watched?.reset(attempt.firstByteAtMs());
  else watched?.ended();
}

/** Creates the attempts of one request, none at first. */
export function createOpenAttempts(): OpenAttempts {
  const open = new Map<Attempt, HeldByAttempt>();
  return {
    get size() {
      return open.size;
    },
    list: () => [...open.keys()],
    add(attempt, held) {
      open.set(attempt, held);
    },
    end(attempt, result) {
      const held = open.get(attempt);
      open.delete(attempt);
      if (held === undefined) return;
      const wasRejected = result.kind === 'rejected' && result.status === UNAVAILABLE_STATUS;
      held.slotLease?.release(wasRejected);
      reportToCrashWatch(held.crashWatched, attempt, result);
      held.reservation.settle(serversUsed(attempt, result));
    },
    abortAll(cause) {
      for (const attempt of [...open.keys()]) attempt.abort(cause);
    },
    discard(isUnneeded) {
      for (const [attempt, held] of [...open]) {
        const cause = isUnneeded(attempt);
        if (cause === undefined) continue;
        open.delete(attempt);
        held.slotLease?.release(false);
        held.crashWatched?.ended();
        // What a discarded attempt has reached is not reported, so all of its reservation counts as used.
        held.reservation.settle(undefined);
        attempt.discard(cause);
      }
    },
  };
}
