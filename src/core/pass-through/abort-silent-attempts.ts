import type { Clock } from '../clock';
import type { ServerLoads } from '../placement';
import type { Attempt } from './attempt';

/**
 * Silence after which an attempt is aborted, ms: well above the pauses of a batch that reads a long
 * prompt, and short enough that a second server can still answer before most callers leave.
 */
const SILENCE_TIMEOUT_MS = 1_200;
/** Interval between checks, ms. */
const CHECK_INTERVAL_MS = 300;

/** Options of `abortSilentAttempts`. */
export interface AbortSilentAttemptsOptions {
  readonly clock: Clock;
  readonly loads: ServerLoads;
  /** Returns the attempt in progress, if it may be followed by another one. */
  readonly current: () => Attempt | undefined;
}

/** Returns the time since the last sign that the attempt is still being processed, ms. */
function silentMs({ to, firstByteAtMs, lastByteAtMs }: Attempt, loads: ServerLoads, nowMs: number) {
  const ownMs = nowMs - lastByteAtMs();
  // Before the first byte, a request may just be queued at a server that answers others.
  if (to.kind === 'server' && firstByteAtMs() === undefined) {
    return Math.min(ownMs, loads.silentMs(to.server.incarnationId, nowMs));
  }
  return ownMs;
}

/**
 * Aborts attempts at servers that have gone silent.
 *
 * A connection may go silent permanently without a reset, and a machine may lose power: nothing
 * arrives any more, and the caller would wait until its deadline. The symptom is a server that
 * sends no data for any request although it has unfinished ones.
 */
export function abortSilentAttempts({
  clock,
  loads,
  current,
}: AbortSilentAttemptsOptions): Disposable {
  let timer: Disposable;
  const checkAttempt = (): void => {
    const nowMs = clock.monotonicMs();
    timer = clock.schedule(nowMs + CHECK_INTERVAL_MS, checkAttempt);
    const attempt = current();
    if (attempt !== undefined && silentMs(attempt, loads, nowMs) >= SILENCE_TIMEOUT_MS) {
      attempt.abort('silence');
    }
  };
  timer = clock.schedule(clock.monotonicMs() + SILENCE_TIMEOUT_MS, checkAttempt);
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
