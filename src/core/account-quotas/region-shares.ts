/** Part of a quota that is divided evenly, whatever each region uses: one that used nothing before a cut may use some. */
const EVEN_PART = 0.5;

/** The share of each region in a quota while regions do not hear one another; together they are 1. */
export function regionShares(
  regions: readonly string[],
  spentPerSecond: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const all = regions.reduce((sum, region) => sum + (spentPerSecond.get(region) ?? 0), 0);
  const even = 1 / Math.max(1, regions.length);
  return new Map(
    regions.map((region) => {
      const used = all > 0 ? (spentPerSecond.get(region) ?? 0) / all : even;
      return [region, EVEN_PART * even + (1 - EVEN_PART) * used];
    }),
  );
}
