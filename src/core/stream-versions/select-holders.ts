import { hashPair } from '../rendezvous';
import type { VersionHolder } from './types';

function bestOf(key: string, candidates: readonly VersionHolder[]): VersionHolder | undefined {
  let best: VersionHolder | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = hashPair(key, candidate.instanceId);
    if (score > bestScore) [best, bestScore] = [candidate, score];
  }
  return best;
}

/**
 * Returns the instances that hold the version of a stream: two of each region, in different failure domains if there
 * are several. All instances that see the same fleet select the same ones.
 */
export function selectHolders(
  key: string,
  instances: readonly VersionHolder[],
): readonly VersionHolder[] {
  const regions = new Set(instances.map(({ region }) => region));
  return [...regions].flatMap((region) => {
    const inRegion = instances.filter((instance) => instance.region === region);
    const first = bestOf(key, inRegion);
    const others = inRegion.filter((instance) => instance !== first);
    const elsewhere = others.filter(({ failureDomain }) => failureDomain !== first?.failureDomain);
    const second = bestOf(key, elsewhere) ?? bestOf(key, others);
    return [first ?? [], second ?? []].flat();
  });
}
