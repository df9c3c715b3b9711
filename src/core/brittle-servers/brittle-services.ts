import type { StatedBrittleness } from './types';

/** The services whose servers state that they are brittle. */
export interface BrittleServices {
  /** Records what an answer of a server states. Returns whether the service has just become brittle. */
  observe(service: string, stated: StatedBrittleness, nowMs: number): boolean;
  isBrittle(service: string, nowMs: number): boolean;
  /** Removes the services that are no longer brittle, and returns them. */
  takeRecovered(nowMs: number): readonly string[];
  count(): number;
}

/**
 * Time after the last statement of any server of a service for which all of its servers count as brittle, ms. A server that
 * has just come back has stated nothing yet, and would be sent what waited for it.
 */
const STATEMENT_TTL_MS = 5_000;

/** Creates a record without services. */
export function createBrittleServices(): BrittleServices {
  const untilMs = new Map<string, number>();
  const isBrittle = (service: string, nowMs: number): boolean =>
    (untilMs.get(service) ?? -Infinity) > nowMs;

  return {
    observe(service, stated, nowMs) {
      if (stated.kind !== 'brittle') return false;
      const isNew = !isBrittle(service, nowMs);
      untilMs.set(service, nowMs + STATEMENT_TTL_MS);
      return isNew;
    },
    isBrittle,
    takeRecovered(nowMs) {
      const recovered = [...untilMs.keys()].filter((service) => !isBrittle(service, nowMs));
      for (const service of recovered) untilMs.delete(service);
      return recovered;
    },
    count: () => untilMs.size,
  };
}
