import type { Clock } from '../clock';
import type { VersionHolder } from './types';

/** The other instances, as they are known at a time. */
export interface FleetView {
  others(): readonly VersionHolder[];
  /** Returns the instances whose processes were not known at the last look; none if no look is due, or at the first one. */
  takeStarted(): readonly VersionHolder[];
}

/** Time for which a view of the fleet is used, ms: shorter than the detection of a change takes. */
const FLEET_VIEW_MS = 100;

/** Interval between looks for instances that have started, ms. */
const START_CHECK_INTERVAL_MS = 300;

const processOf = ({ instanceId, startedAtUnixMs }: VersionHolder): string =>
  `${startedAtUnixMs ?? ''} ${instanceId}`;

/** Creates a view of the instances that `peers` returns. */
export function createFleetView(
  clock: Pick<Clock, 'monotonicMs'>,
  peers: () => readonly VersionHolder[],
): FleetView {
  let view: { readonly others: readonly VersionHolder[]; readonly untilMs: number } | undefined;
  let knownProcesses: ReadonlySet<string> | undefined;
  let nextCheckAtMs = -Infinity;

  const others = (): readonly VersionHolder[] => {
    const nowMs = clock.monotonicMs();
    if (view === undefined || view.untilMs <= nowMs) {
      view = { others: peers(), untilMs: nowMs + FLEET_VIEW_MS };
    }
    return view.others;
  };

  return {
    others,
    takeStarted() {
      if (clock.monotonicMs() < nextCheckAtMs) return [];
      nextCheckAtMs = clock.monotonicMs() + START_CHECK_INTERVAL_MS;
      const known = knownProcesses;
      knownProcesses = new Set(others().map(processOf));
      return known === undefined ? [] : others().filter((peer) => !known.has(processOf(peer)));
    },
  };
}
