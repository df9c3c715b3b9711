import type { ServingServer, ServingTime } from './types';

/** Records the times in which servers take requests. */
export interface ServingTimes {
  /** In order of their begin; a time that lasts has no end yet. */
  readonly times: readonly ServingTime[];
  /** Records which starts of servers take requests from now on. */
  record(serving: readonly ServingServer[]): void;
}

/** Creates a record of no servers. */
export function createServingTimes(): ServingTimes {
  const times: (ServingServer & { readonly fromMs: number; toMs: number })[] = [];
  return {
    times,
    record(serving) {
      const nowMs = Date.now();
      const lasting = times.filter(({ toMs }) => toMs === Infinity);
      for (const time of lasting) {
        if (!serving.some(({ server }) => server === time.server)) time.toMs = nowMs;
      }
      for (const one of serving) {
        if (lasting.some(({ server }) => server === one.server)) continue;
        times.push({ ...one, fromMs: nowMs, toMs: Infinity });
      }
    },
  };
}
