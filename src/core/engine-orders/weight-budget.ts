import type { Configuration } from '../configuration';

/** How many loads one service of one region may begin, so that all together keep the weight store's limit. */

/** At most this many loads in any span of this length. */
export interface LoadAllowance {
  readonly loads: number;
  readonly windowMs: number;
}

const MINUTE_MS = 60_000;

function enginesWanted(
  { placement }: Configuration,
  isCounted: (place: { readonly service: string; readonly region: string }) => boolean,
): number {
  return placement.models.filter(isCounted).reduce((sum, wanted) => sum + wanted.engines, 0);
}

/**
 * The part of the limit that belongs to one service of one region: in proportion to what is wanted there.
 *
 * The weight store counts the reads of all regions, and there is nobody to ask for the next one. A division that
 * follows from the configuration alone is the same for everybody, holds through partitions, and costs that an
 * idle region's part is not used by the others. Parts of less than one load a minute get one in a longer span.
 */
export function loadAllowance(
  configuration: Configuration,
  service: string,
  region: string,
): LoadAllowance {
  const all = enginesWanted(configuration, () => true);
  const here = enginesWanted(
    configuration,
    (place) => place.service === service && place.region === region,
  );
  if (here === 0) return { loads: 0, windowMs: MINUTE_MS };
  const perMinute = (configuration.placement.weightStoreLoadsPerMinute * here) / all;
  if (perMinute >= 1) return { loads: Math.floor(perMinute), windowMs: MINUTE_MS };
  return { loads: 1, windowMs: Math.ceil(MINUTE_MS / perMinute) };
}
