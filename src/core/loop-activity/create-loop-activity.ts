import type { Clock } from '../clock';
import type { LoopActivity, LoopWork, OccupiedLoop } from './types';

interface Begun {
  readonly work: LoopWork;
  readonly subject: string;
  readonly atMs: number;
}

/** Creates a record of what the event loop is occupied with, which holds two pieces of work at most. */
export function createLoopActivity({ monotonicMs }: Pick<Clock, 'monotonicMs'>): LoopActivity {
  let current: Begun | undefined;
  let longest: OccupiedLoop | undefined;

  const endCurrent = (nowMs: number): void => {
    if (current === undefined) return;
    const { work, subject, atMs } = current;
    const tookMs = nowMs - atMs;
    if (longest === undefined || tookMs > longest.tookMs) longest = { work, subject, tookMs };
  };

  return {
    begin(work, subject = '') {
      const nowMs = monotonicMs();
      endCurrent(nowMs);
      current = { work, subject, atMs: nowMs };
    },
    takeLongest() {
      endCurrent(monotonicMs());
      const taken = longest;
      longest = undefined;
      current = undefined;
      return taken;
    },
  };
}

/** Keeps nothing. */
export const NO_LOOP_ACTIVITY: LoopActivity = {
  begin() {},
  takeLongest: () => undefined,
};
