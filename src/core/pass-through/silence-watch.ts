import type { Clock } from '../clock';
import type { ServerLoads } from '../placement';
import type { Attempt } from './attempt';

/**
 * Silence after which a try is given up: well above the pauses of a batch that reads a long prompt, and short
 * enough that a second server can still answer before most callers leave, ms.
 */
const SILENCE_MS = 1_200;
/** Rest between two looks, ms. */
const LOOK_EVERY_MS = 300;

/** What is watched. */
export interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly loads: ServerLoads;
  /** The try under way, if it may be followed by another one. */
  readonly current: () => Attempt | undefined;
}

/** How long nothing has come that shows that the try is still worked on. */
function silentMs({ to, firstByteAtMs, lastByteAtMs }: Attempt, loads: ServerLoads, nowMs: number) {
  const ownMs = nowMs - lastByteAtMs();
  // Before the first byte a request may just be waiting its turn, at a server that answers others.
  if (to.kind === 'server' && firstByteAtMs() === undefined) {
    return Math.min(ownMs, loads.silentMs(to.server.incarnationId, nowMs));
  }
  return ownMs;
}

/**
 * Gives up tries at servers that have gone silent.
 *
 * A connection may go silent for good without a reset, and a machine may lose power: nothing comes any more, and
 * the caller waits until its deadline. One notices a server from which nobody gets a byte while it owes some.
 */
export function watchForSilence({ clock, loads, current }: SilenceWatchOptions): Disposable {
  let timer: Disposable;
  const look = (): void => {
    const nowMs = clock.monotonicMs();
    timer = clock.schedule(nowMs + LOOK_EVERY_MS, look);
    const attempt = current();
    if (attempt !== undefined && silentMs(attempt, loads, nowMs) >= SILENCE_MS) {
      attempt.abort('silence');
    }
  };
  timer = clock.schedule(clock.monotonicMs() + SILENCE_MS, look);
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
