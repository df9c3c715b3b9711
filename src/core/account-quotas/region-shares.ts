/**
 * Fraction of a quota that is divided evenly, whatever each region uses, so that a region that used nothing before a
 * network partition can still use some.
 */
const EVEN_FRACTION = 0.5;

/**
 * Returns the share of each region in a quota, for times when regions receive no reports from one another. The shares
 * add up to 1.
 */
export function regionShares(
  regions: readonly string[],
  spentPerSecond: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const totalPerSecond = regions.reduce(
    (sum, region) => sum + (spentPerSecond.get(region) ?? 0),
    0,
  );
  const evenShare = 1 / Math.max(1, regions.length);
  return new Map(
    regions.map((region) => {
      const usageShare =
        totalPerSecond > 0 ? (spentPerSecond.get(region) ?? 0) / totalPerSecond : evenShare;
      return [region, EVEN_FRACTION * evenShare + (1 - EVEN_FRACTION) * usageShare];
    }),
  );
}
