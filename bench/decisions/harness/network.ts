import type { Scenario } from './types';

/** Delays between the parts of a scenario, and which regions cannot reach each other just now. */
export interface FakeNetwork {
  delayMs(fromRegion: string, toRegion: string): number;
  isParted(fromRegion: string, toRegion: string): boolean;
  part(regions: readonly [string, string]): void;
  heal(regions: readonly [string, string]): void;
}

/** Time until an instance notices that a peer does not answer, ms. */
export const PEER_LOSS_DETECTION_MS = 1_000;

/** The network of a scenario, whole at first. */
export function createFakeNetwork(scenario: Scenario): FakeNetwork {
  const parted = new Set<string>();
  const keyOf = (left: string, right: string) => [left, right].sort().join('|');
  return {
    delayMs: (fromRegion, toRegion) =>
      fromRegion === toRegion ? scenario.withinRegionMs : scenario.betweenRegionsMs,
    isParted: (fromRegion, toRegion) => parted.has(keyOf(fromRegion, toRegion)),
    part: ([left, right]) => parted.add(keyOf(left, right)),
    heal: ([left, right]) => parted.delete(keyOf(left, right)),
  };
}
