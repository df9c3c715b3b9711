import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import { PAUSE_EVENTS } from './events';
import { noticedPauseMs } from './notice-pause';
import type { ClockReading } from './notice-pause';

/** Whether what this instance knows is no older than its last pause. */
export type Freshness = 'fresh' | 'unconfirmed';

/** Keeps an instance that stood still from acting on what it knew before. */
export interface PauseGuard extends AsyncDisposable {
  start(): void;
  /** Pauses so far. Work that began under another count was overtaken by one. */
  pauseCount(): number;
  /** Whether a pause has been noticed, by this look too, and nothing refreshed since. */
  isStale(): boolean;
  /**
   * Resolves when what is known is no older than the last pause, at once when there was none; `unconfirmed` for
   * as long as no peer has answered since, though nothing waits for that any longer.
   */
  requireFresh(): Promise<Freshness>;
}

/** Brings what this instance knows up to date; false when nobody could be reached. */
export type Refresh = (signal: AbortSignal) => Promise<boolean>;

/** What the guard is built from. */
export interface PauseGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly refresh: Refresh;
}

/** Time between two looks at the clocks. */
const LOOK_EVERY_MS = 250;

/**
 * Longest wait for a peer after a pause. A region that is cut off must go on serving its callers, so the wait
 * ends; it is longer than an exchange with a peer in another region and its repetition take.
 */
export const REFRESH_TIMEOUT_MS = 3_000;

/** A guard of one process. */
export function createPauseGuard({ clock, logger, refresh }: PauseGuardOptions): PauseGuard {
  const stopping = new AbortController();
  let last: ClockReading = { monotonicMs: clock.monotonicMs(), unixMs: clock.unixMs() };
  let pauses = 0;
  let freshAsOfPause = 0;
  let confirmedAsOfPause = 0;
  let refreshing: Promise<Freshness> | undefined;
  let task: Promise<void> | undefined;

  /** Looks at the clocks. Whoever asks looks too: after a pause a request may run before the task does. */
  const look = () => {
    const now = { monotonicMs: clock.monotonicMs(), unixMs: clock.unixMs() };
    const pausedMs = noticedPauseMs(last, now);
    last = now;
    if (pausedMs === undefined) return;
    pauses += 1;
    logger.event(PAUSE_EVENTS.noticed, { pausedMs: Math.round(pausedMs) });
  };

  const refreshOnce = async (): Promise<Freshness> => {
    const pauseAtStart = pauses;
    const startedAtMs = clock.monotonicMs();
    const giveUp = new AbortController();
    const abort = () => giveUp.abort();
    stopping.signal.addEventListener('abort', abort, { once: true });
    const timer = clock.schedule(startedAtMs + REFRESH_TIMEOUT_MS, abort);
    const reached = await refresh(giveUp.signal);
    timer[Symbol.dispose]();
    stopping.signal.removeEventListener('abort', abort);
    look();
    // A pause in the middle of a refresh leaves it as old as what it was to renew.
    if (pauses !== pauseAtStart && !stopping.signal.aborted) return refreshOnce();
    const isNews = freshAsOfPause !== pauses || reached;
    freshAsOfPause = pauses;
    if (reached) confirmedAsOfPause = pauses;
    const waitedMs = Math.round(clock.monotonicMs() - startedAtMs);
    if (isNews) {
      logger.event(reached ? PAUSE_EVENTS.refreshed : PAUSE_EVENTS.unconfirmed, { waitedMs });
    }
    return reached ? 'fresh' : 'unconfirmed';
  };

  const isStale = () => {
    look();
    return freshAsOfPause !== pauses;
  };

  const startRefresh = (): Promise<Freshness> => {
    refreshing ??= refreshOnce().finally(() => {
      refreshing = undefined;
    });
    return refreshing;
  };

  const requireFresh = (): Promise<Freshness> => {
    if (isStale()) return startRefresh();
    return Promise.resolve(confirmedAsOfPause === pauses ? 'fresh' : 'unconfirmed');
  };

  /** Looks on while a refresh is under way; a refresh that is not looked at would seem a pause itself. */
  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      look();
      if (confirmedAsOfPause !== pauses) void startRefresh();
      await sleepUntil(clock, clock.monotonicMs() + LOOK_EVERY_MS, stopping.signal);
    }
  };

  return {
    start() {
      task = run();
    },
    pauseCount() {
      look();
      return pauses;
    },
    isStale,
    requireFresh,
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await task;
      await refreshing;
    },
  };
}
