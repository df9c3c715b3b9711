/** Where a request may be handled. */
export type HandlingRegions =
  | { readonly kind: 'anywhere' }
  | { readonly kind: 'only'; readonly regions: readonly string[] }
  /** Its route and its account have no region in common. */
  | { readonly kind: 'nowhere' };

/** Where a request may be handled; an empty list of home regions binds nothing, and both lists bind together. */
export function handlingRegions(
  routeRegions: readonly string[],
  accountRegions: readonly string[],
): HandlingRegions {
  if (routeRegions.length === 0 && accountRegions.length === 0) return { kind: 'anywhere' };
  if (routeRegions.length === 0) return { kind: 'only', regions: accountRegions };
  if (accountRegions.length === 0) return { kind: 'only', regions: routeRegions };
  const regions = routeRegions.filter((region) => accountRegions.includes(region));
  return regions.length === 0 ? { kind: 'nowhere' } : { kind: 'only', regions };
}
