import type { Clock } from '../clock';
import type { ServerLoads } from '../placement';
import { STALL_TIMEOUT_MS } from './answer-timing';
import type { Attempt } from './attempt-types';

/**
 * Silence of all attempts of a request after which another one begins beside them, ms: well above the pauses of a batch
 * that reads a long prompt, and short enough that a second server can still answer before most callers leave.
 */
const SILENCE_TIMEOUT_MS = 1_200;
/** Interval between checks, ms. */
const CHECK_INTERVAL_MS = 300;

/** Part of an attempt that its silence depends on. */
export type ObservedAttempt = Pick<
  Attempt,
  'to' | 'firstByteAtMs' | 'lastByteAtMs' | 'hasProgressed' | 'stalledFromMs'
>;

/** What is known of the servers of attempts. */
export type ObservedLoads = Pick<ServerLoads, 'silentMs' | 'unprogressedMs'>;

/** Options of `watchSilence`. */
export interface WatchSilenceOptions {
  readonly clock: Clock;
  readonly loads: ObservedLoads;
  /** Returns the attempts in progress. */
  readonly attempts: () => readonly ObservedAttempt[];
  /** Called at intervals while all attempts in progress are silent. */
  readonly onSilence: () => void;
}

/** Returns the time since the last sign that an attempt is still being processed, ms. */
function silentMs(
  { to, firstByteAtMs, lastByteAtMs }: ObservedAttempt,
  loads: ObservedLoads,
  nowMs: number,
): number {
  const ownMs = nowMs - lastByteAtMs();
  // Before the first byte, a request may just be queued at a server that answers others.
  if (to.kind === 'server' && firstByteAtMs() === undefined) {
    return Math.min(ownMs, loads.silentMs(to.server.incarnationId, nowMs));
  }
  return ownMs;
}

/**
 * Returns whether nothing has arrived for an attempt for a while that its caller can use, although bytes may arrive: keep-alive
 * comments, or an event without end.
 */
function isStalled(
  { to, hasProgressed, stalledFromMs }: ObservedAttempt,
  loads: ObservedLoads,
  nowMs: number,
): boolean {
  if (nowMs < stalledFromMs()) return false;
  // Before it progresses, a request may just be queued, or its prompt be read, at a server that answers others.
  return (
    to.kind === 'peer' ||
    hasProgressed() ||
    loads.unprogressedMs(to.server.incarnationId, nowMs) >= STALL_TIMEOUT_MS
  );
}

/** Returns whether nothing shows that an attempt is still being processed. */
export function isSilent(attempt: ObservedAttempt, loads: ObservedLoads, nowMs: number): boolean {
  return silentMs(attempt, loads, nowMs) >= SILENCE_TIMEOUT_MS || isStalled(attempt, loads, nowMs);
}

/** Returns whether there are attempts, and nothing shows that any of them is still being processed. */
export function areAllSilent(
  attempts: readonly ObservedAttempt[],
  loads: ObservedLoads,
  nowMs: number,
): boolean {
  return attempts.length > 0 && attempts.every((attempt) => isSilent(attempt, loads, nowMs));
}

/**
 * Watches the attempts of a request for silence.
 *
 * A connection may go silent permanently without a reset, and a machine may lose power: nothing arrives any more, and the
 * caller would wait until its deadline. But a sound server may stand still for a second or two, and at that moment nothing
 * tells it from one that is gone. So silence ends no attempt; it is the time to begin another one. So is a time without
 * anything that the caller can use: a server may send comments while it reads a long prompt.
 */
export function watchSilence(options: WatchSilenceOptions): Disposable {
  const { clock, loads, attempts, onSilence } = options;
  let timer: Disposable;
  const check = (): void => {
    const nowMs = clock.monotonicMs();
    timer = clock.schedule(nowMs + CHECK_INTERVAL_MS, check);
    if (areAllSilent(attempts(), loads, nowMs)) onSilence();
  };
  timer = clock.schedule(clock.monotonicMs() + SILENCE_TIMEOUT_MS, check);
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
