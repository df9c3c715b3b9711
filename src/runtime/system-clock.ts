import type { Clock } from '../core/clock';

/** The longest delay that Node's timers take; longer waits are cut into several. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The machine's own time. */
export function createSystemClock(): Clock {
  const monotonicMs = () => performance.now();

  return {
    monotonicMs,
    unixMs: () => Date.now(),
    schedule(atMs, callback) {
      let timer: NodeJS.Timeout;
      const arm = () => {
        const leftMs = Math.max(0, atMs - monotonicMs());
        const delayMs = Math.min(Math.ceil(leftMs), MAX_TIMER_MS);
        timer = setTimeout(() => (monotonicMs() >= atMs ? callback() : arm()), delayMs);
      };
      arm();
      return { [Symbol.dispose]: () => clearTimeout(timer) };
    },
  };
}
