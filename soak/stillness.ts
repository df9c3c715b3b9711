import { setTimeout as sleep } from 'node:timers/promises';
import type { Standstill } from './types';

/** Starts of servers that read and send nothing for a time, or for good; their connections stay open and new ones are accepted. */
export interface Stillness {
  /** Times that have ended, each with the server going on. */
  readonly standstills: readonly Standstill[];
  isStill(server: string): boolean;
  /** Whether a server will never go on. */
  isSilent(server: string): boolean;
  /** Calls `act` at once, or when the server goes on. */
  whenMoving(server: string, act: () => void): void;
  /** Has servers stand still for some time, but for those that do or did a moment ago; `onChange` is called at both ends. */
  during(servers: readonly string[], forMs: number, onChange: () => void): Promise<void>;
  /** Has a server stand still for good. */
  fallSilent(server: string): void;
}

/** Time for which a server moves between two standstills, ms; it is not silent for longer than one of them. */
const MIN_MOVING_MS = 1_000;

/** Creates servers that all move. */
export function createStillness(): Stillness {
  const standstills: Standstill[] = [];
  /** What servers that stand still do when they go on, by server. */
  const waiting = new Map<string, (() => void)[]>();
  const silent = new Set<string>();
  const movingSinceMs = new Map<string, number>();

  const mayStand = (server: string): boolean =>
    !waiting.has(server) && (movingSinceMs.get(server) ?? 0) + MIN_MOVING_MS <= Date.now();

  const goOn = (server: string, fromMs: number): void => {
    if (silent.has(server)) return;
    const acts = waiting.get(server) ?? [];
    waiting.delete(server);
    movingSinceMs.set(server, Date.now());
    standstills.push({ server, fromMs, toMs: Date.now() });
    for (const act of acts) act();
  };

  return {
    standstills,
    isStill: (server) => waiting.has(server),
    isSilent: (server) => silent.has(server),
    whenMoving(server, act) {
      const acts = waiting.get(server);
      if (acts === undefined) act();
      else acts.push(act);
    },
    async during(servers, forMs, onChange) {
      const fromMs = Date.now();
      const struck = servers.filter(mayStand);
      for (const server of struck) waiting.set(server, []);
      onChange();
      await sleep(forMs);
      for (const server of struck) goOn(server, fromMs);
      onChange();
    },
    fallSilent(server) {
      silent.add(server);
      if (!waiting.has(server)) waiting.set(server, []);
    },
  };
}
