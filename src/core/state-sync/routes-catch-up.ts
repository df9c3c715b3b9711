import type { Clock } from '../clock';
import type { RouteTableStore } from '../host-routes';
import type { PublishedState, RoutesItem } from './types';

/** Options of the catch-up with routes of other instances. */
export interface RoutesCatchUpOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly routes: Pick<RouteTableStore, 'current'>;
  /** Returns the highest version of the routes known to be in force at another instance; 0 if none is known. */
  readonly latestPeerVersion: () => number;
  /** Reads the state of another instance; undefined when it does not answer. Never rejects. */
  readonly readPeerState: () => Promise<PublishedState | undefined>;
  readonly applyRoutes: (item: RoutesItem) => void;
}

/** Adopts later routes of other instances. */
export interface RoutesCatchUp {
  /** Requests the state of another instance if one has had a later version for long enough. */
  check(): void;
}

/** How long another instance may have a later version before it is called, ms: updates usually take about a second. */
const MAX_LAG_MS = 1_500;

/**
 * Adopts a version of the routes that other instances have in force and the source no longer holds.
 *
 * Such a version is lost when the source is restored from an older backup. An instance started after that would use
 * older routes than the others until the version is published again, and the same request would get different
 * answers at different instances.
 */
export function createRoutesCatchUp(options: RoutesCatchUpOptions): RoutesCatchUp {
  const { clock, routes } = options;
  /** The version in force here, and the time since which another instance has had a later one. */
  let lag: { readonly inForce: number; readonly sinceMs: number } | undefined;
  let isRequestPending = false;

  const catchUp = async (): Promise<void> => {
    isRequestPending = true;
    const state = await options.readPeerState();
    isRequestPending = false;
    for (const item of state?.items ?? []) if (item.kind === 'routes') options.applyRoutes(item);
  };

  return {
    check() {
      const nowMs = clock.monotonicMs();
      const inForce = routes.current()?.table.version ?? 0;
      if (options.latestPeerVersion() <= inForce) {
        lag = undefined;
        return;
      }
      // If the version here has advanced, this instance is only one step behind, as during a series of versions, and
      // the time is measured anew.
      if (lag?.inForce !== inForce) lag = { inForce, sinceMs: nowMs };
      if (nowMs - lag.sinceMs >= MAX_LAG_MS && !isRequestPending) void catchUp();
    },
  };
}
