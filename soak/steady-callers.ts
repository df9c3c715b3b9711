import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import { keyOfCaller } from './accounts';
import { GIVE_UP_MS, routesAt, sendRequest } from './callers';
import type { CallerAttempt } from './types';

/** Callers that send requests at a steady rate, whether or not earlier ones were answered; others wait for their answers. */
export interface SteadyCallers {
  readonly attempts: readonly CallerAttempt[];
  /** Sends requests for some time, and resolves once all of them have ended. */
  during(forMs: number): Promise<void>;
}

/** Options of `createSteadyCallers`. */
export interface SteadyCallersOptions {
  readonly random: RandomSource;
  readonly addresses: readonly string[];
}

/** Interval between two requests, ms. */
const GAP_MS = 30;

/** Creates callers that send nothing yet. */
export function createSteadyCallers({ random, addresses }: SteadyCallersOptions): SteadyCallers {
  const attempts: CallerAttempt[] = [];
  let asked = 0;

  const ask = async (): Promise<void> => {
    const instance = pickIndex(random, addresses.length);
    const routes = routesAt(instance);
    const route = routes[pickIndex(random, routes.length)];
    const address = addresses[instance];
    if (route === undefined || address === undefined) return;
    asked += 1;
    const agent = new Agent();
    const options = { agent, key: keyOfCaller(0), leavesAfterMs: GIVE_UP_MS };
    attempts.push(await sendRequest(address, route, `steady-${asked}`, options));
    agent.destroy();
  };

  return {
    attempts,
    async during(forMs) {
      const open: Promise<void>[] = [];
      const untilMs = performance.now() + forMs;
      while (performance.now() < untilMs) {
        open.push(ask());
        await sleep(GAP_MS);
      }
      await Promise.all(open);
    },
  };
}
