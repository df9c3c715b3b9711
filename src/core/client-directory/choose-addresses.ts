/** One instance that callers may be sent to. */
export interface DirectoryEntry {
  readonly callerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Where a caller asks from. */
export interface CallerPlace {
  readonly region: string | undefined;
  readonly failureDomain: string | undefined;
}

/** Addresses that one answer holds; callers spread over them at random. */
const MOST_ADDRESSES = 64;

/**
 * The instances that a caller is to use: those of its region; where it has none, those of regions in which all
 * that the host serves may be; where there are none either, all.
 *
 * An instance in another region costs a long round trip on each request, and a request that is bound to some
 * regions should not even be read in another one. Within a region all are named, also those of other failure
 * domains: a fraction of a ms more is less than what a single full instance costs.
 */
export function chooseAddresses(
  entries: readonly DirectoryEntry[],
  place: CallerPlace,
  homeRegions: readonly string[],
): readonly string[] {
  const near = entries.filter((entry) => entry.region === place.region);
  const atHome = entries.filter((entry) => homeRegions.includes(entry.region));
  const chosen = [near, atHome, entries].find((group) => group.length > 0) ?? [];
  return chosen.slice(0, MOST_ADDRESSES).map((entry) => entry.callerAddress);
}
