import type { PartTrial } from './types';

/** The end of a server that had a request. */
export interface RequestCrash {
  readonly serverId: string;
  readonly failureDomain: string;
  /** Time at which the connection broke, monotonic ms. */
  readonly atMs: number;
  /** Time at which the request was sent to the server, monotonic ms. */
  readonly sentAtMs: number;
  /** Time for which the answer had been arriving, ms; undefined if no byte of its body had come. */
  readonly answeredForMs: number | undefined;
  /** The trial that the request was; undefined if it was none. */
  readonly trial: PartTrial | undefined;
}

/** The requests of one server that a crash cut off and whose parts the same regions may be told of. */
export interface CollectedCrash {
  readonly service: string;
  readonly regions: readonly string[];
  readonly crash: RequestCrash;
  /** Time at which the latest request with each part was sent, monotonic ms. */
  readonly parts: ReadonlyMap<string, number>;
  readonly trials: readonly PartTrial[];
  readonly requests: number;
}

/** Collects the requests that one crash cuts off, which are noticed one after the other. */
export interface CrashCollector {
  /** Adds a request with these parts. */
  add(
    service: string,
    crash: RequestCrash,
    parts: readonly string[],
    regions: readonly string[],
  ): void;
}

/** Time for which requests are collected, ms. */
const COLLECT_MS = 10;

/** Creates a collector; `onCollected` is called once for each crash and group of regions. */
export function createCrashCollector(
  schedule: (delayMs: number, task: () => void) => void,
  onCollected: (collected: CollectedCrash) => void,
): CrashCollector {
  const collected = new Map<string, CollectedCrash>();
  return {
    add(service, crash, parts, regions) {
      const key = [service, crash.serverId, ...regions].join('\n');
      const known = collected.get(key);
      collected.set(key, {
        service,
        regions,
        crash: known?.crash ?? crash,
        parts: new Map([
          ...(known?.parts ?? []),
          ...parts.map((part): [string, number] => [
            part,
            Math.max(crash.sentAtMs, known?.parts.get(part) ?? -Infinity),
          ]),
        ]),
        trials: [...(known?.trials ?? []), ...(crash.trial === undefined ? [] : [crash.trial])],
        requests: (known?.requests ?? 0) + 1,
      });
      if (known !== undefined) return;
      schedule(COLLECT_MS, () => {
        const found = collected.get(key);
        collected.delete(key);
        if (found !== undefined) onCollected(found);
      });
    },
  };
}
