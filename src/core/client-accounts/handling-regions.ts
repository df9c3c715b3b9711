/** Regions in which a request may be handled. */
export type HandlingRegions =
  | { readonly kind: 'anywhere' }
  | { readonly kind: 'only'; readonly regions: readonly string[] }
  /** The route and the account of the request have no region in common. */
  | { readonly kind: 'nowhere' };

/**
 * Returns the regions in which a request may be handled: those that both the route and the account allow. An empty list
 * allows all regions.
 */
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
