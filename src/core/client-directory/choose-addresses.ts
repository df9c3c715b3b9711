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

/** Who could be named. */
export interface DirectoryView {
  readonly alive: readonly DirectoryEntry[];
  /** Instances in a planned stop; they still answer, with a refusal at worst. */
  readonly leaving: readonly DirectoryEntry[];
  /** Regions in which most of what the host serves may be; empty where it is bound to none. */
  readonly homeRegions: readonly string[];
}

/**
 * The instances that a caller is to use: those of its region; where it has none, those of the host's home regions;
 * where there are none either, those of the same regions that are leaving; and all others only when there is
 * nobody else.
 *
 * An instance in another region costs a long round trip on each request, and a request that is bound to some
 * regions should not even be read in another one. When all instances of a region are replaced one after the
 * other, there are moments in which each of them is leaving; they serve for some seconds more, while one in a
 * region that is no home could pass nothing on. Within a region all are named, also those of other failure
 * domains: a fraction of a ms more is less than what a single full instance costs.
 */
export function chooseAddresses(
  { alive, leaving, homeRegions }: DirectoryView,
  place: CallerPlace,
): readonly string[] {
  const isNear = (entry: DirectoryEntry) => entry.region === place.region;
  const isAtHome = (entry: DirectoryEntry) => homeRegions.includes(entry.region);
  const groups = [
    alive.filter(isNear),
    alive.filter(isAtHome),
    homeRegions.length === 0 ? [] : leaving.filter(isNear),
    leaving.filter(isAtHome),
    alive,
  ];
  const chosen = groups.find((group) => group.length > 0) ?? [];
  return chosen.slice(0, MOST_ADDRESSES).map((entry) => entry.callerAddress);
}
