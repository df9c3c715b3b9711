import type { Clock } from '../clock';
import type { RouteTableStore } from '../host-routes';
import type { PublishedState, RoutesItem } from './types';

/** What is needed to catch up with other instances. */
export interface LaterRoutesOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly routes: Pick<RouteTableStore, 'current'>;
  /** Highest version of the routes that another instance has in force, as far as is known; 0 for none. */
  readonly latestElsewhere: () => number;
  /** What another instance has; undefined when it does not answer. Never rejects. */
  readonly askPeer: () => Promise<PublishedState | undefined>;
  readonly take: (item: RoutesItem) => void;
}

/** Catches up with other instances. */
export interface LaterRoutes {
  /** Asks another instance, if one has had a later version for long enough. */
  look(): void;
}

/** Time for which another instance has to have a later version, ms: news takes a second or so. */
const BEHIND_FOR_MS = 1_500;

/**
 * Takes over a version that other instances have in force and the source does not hold.
 *
 * It was lost when the source came back from an older copy. Whoever has started since would serve by older routes than
 * its neighbours until the version is published again; one notices instances that answer the same request differently.
 */
export function createLaterRoutes(options: LaterRoutesOptions): LaterRoutes {
  const { clock, routes } = options;
  /** Version that was in force here, and since when another instance has had a later one. */
  let behind: { readonly inForce: number; readonly sinceMs: number } | undefined;
  let isAsking = false;

  const ask = async (): Promise<void> => {
    isAsking = true;
    const state = await options.askPeer();
    isAsking = false;
    for (const item of state?.items ?? []) if (item.kind === 'routes') options.take(item);
  };

  return {
    look() {
      const nowMs = clock.monotonicMs();
      const inForce = routes.current()?.table.version ?? 0;
      if (options.latestElsewhere() <= inForce) {
        behind = undefined;
        return;
      }
      // Whoever gets on is only a step behind, as in a series of versions.
      if (behind?.inForce !== inForce) behind = { inForce, sinceMs: nowMs };
      if (nowMs - behind.sinceMs >= BEHIND_FOR_MS && !isAsking) void ask();
    },
  };
}
