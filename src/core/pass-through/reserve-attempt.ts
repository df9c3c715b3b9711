import type { Clock } from '../clock';
import type { AbortCause } from '../outcomes';
import type { Attempt } from './attempt-types';
import { watchSilence } from './watch-silence';
import type { ObservedLoads } from './watch-silence';

/** Limits how many attempts of an instance are kept in reserve at the same time. */
export interface ReserveSlots {
  /** Takes a slot; returns false if none is free. */
  take(): boolean;
  giveBack(): void;
}

/** Maximum number of attempts in reserve: each has a server work on a request that another one answers. */
const MAX_RESERVES = 16;
/** Time for which an attempt is kept, ms: another one that falls silent after its first event is noticed within it. */
const MAX_RESERVE_MS = 3_000;

/** Creates the slots of an instance, all of them free. */
export function createReserveSlots(): ReserveSlots {
  let used = 0;
  return {
    take() {
      if (used >= MAX_RESERVES) return false;
      used += 1;
      return true;
    },
    giveBack() {
      used -= 1;
    },
  };
}

/** Attempt of a stream that is kept, its answer unread, while another one goes on in its place. */
export interface Reserve extends Disposable {
  isHolding(): boolean;
  /** Returns the attempts in progress that are not kept. */
  active(): readonly Attempt[];
  /** Keeps an attempt that would be ended for `cause`; returns false if it has to be ended. */
  keep(attempt: Attempt, cause: AbortCause): boolean;
  /** Has the kept attempt go on beside those in progress. */
  goOn(): void;
  /** Forgets an attempt that has ended by itself. */
  forget(attempt: Attempt): void;
}

/** Options of {@link createReserve}. */
export interface ReserveOptions {
  readonly clock: Clock;
  readonly loads: ObservedLoads;
  readonly slots: ReserveSlots;
  /** Returns the attempts in progress. */
  readonly attempts: () => readonly Attempt[];
  /** Ends an attempt that is no longer kept. */
  readonly end: (attempt: Attempt, cause: AbortCause) => void;
}

interface Kept {
  readonly attempt: Attempt;
  readonly cause: AbortCause;
  readonly timers: readonly Disposable[];
}

/**
 * Creates a reserve of one request, for one attempt at most, once.
 *
 * The first server of a stream may be sound and stand still, and the one that was asked beside it may be lost after its first
 * event. If the first attempt had been ended at that event, the caller would find its stream closed midway though its server
 * goes on.
 */
export function createReserve(options: ReserveOptions): Reserve {
  const { clock, slots } = options;
  let kept: Kept | undefined;
  let wasUsed = false;

  const active = (): readonly Attempt[] =>
    options.attempts().filter((attempt) => attempt !== kept?.attempt);

  const release = (): Kept | undefined => {
    const released = kept;
    if (released === undefined) return undefined;
    kept = undefined;
    slots.giveBack();
    for (const timer of released.timers) timer[Symbol.dispose]();
    return released;
  };
  const end = (): void => {
    const released = release();
    if (released !== undefined) options.end(released.attempt, released.cause);
  };
  const goOn = (): void => release()?.attempt.release();

  return {
    isHolding: () => kept !== undefined,
    active,
    keep(attempt, cause) {
      if (wasUsed || !slots.take()) return false;
      if (!attempt.hold()) {
        slots.giveBack();
        return false;
      }
      wasUsed = true;
      const { loads } = options;
      const timers = [
        clock.schedule(clock.monotonicMs() + MAX_RESERVE_MS, end),
        watchSilence({ clock, loads, attempts: active, onSilence: goOn }),
      ];
      kept = { attempt, cause, timers };
      return true;
    },
    goOn,
    forget(attempt) {
      if (kept?.attempt === attempt) release();
    },
    [Symbol.dispose]: end,
  };
}
