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
 * The instances that a caller is to use: those of its region, or all where its region has none.
 *
 * An instance in another region costs a long round trip on each request, and data that may not leave the
 * caller's region would be read there. Within a region all are named, also those of other failure domains: a
 * fraction of a ms more is less than what a single full instance costs.
 */
export function chooseAddresses(
  entries: readonly DirectoryEntry[],
  place: CallerPlace,
): readonly string[] {
  const near = entries.filter((entry) => entry.region === place.region);
  const chosen = near.length > 0 ? near : entries;
  return chosen.slice(0, MOST_ADDRESSES).map((entry) => entry.callerAddress);
}
