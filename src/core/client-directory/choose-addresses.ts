/** Instance that callers may be directed to. */
export interface DirectoryEntry {
  readonly callerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Location from which a caller sends requests; undefined parts are unknown. */
export interface CallerLocation {
  readonly region: string | undefined;
  readonly failureDomain: string | undefined;
}

/** Maximum number of addresses in one answer; callers choose among them at random. */
const MAX_ADDRESSES = 64;

/** Instances to choose from, and the home regions of the host. */
export interface DirectoryView {
  readonly alive: readonly DirectoryEntry[];
  /** Instances in a planned stop; they still answer requests, though perhaps with a refusal. */
  readonly leaving: readonly DirectoryEntry[];
  /** Regions that are home to the largest number of the host's restricted routes; empty if none is restricted. */
  readonly homeRegions: readonly string[];
}

/**
 * Returns the addresses of the instances that a caller should use. The first of these groups that is not empty is used:
 * live instances of the caller's region; live instances of the host's home regions; if the host has home regions,
 * leaving instances of the caller's region; leaving instances of the home regions; all live instances.
 *
 * An instance in another region adds a long round trip to each request, and a request that is restricted to some
 * regions should not even be read in another one. While all instances of a region are replaced one after the other,
 * there are moments at which each of them is leaving. They still serve for some seconds, whereas an instance outside
 * the home regions could not forward the request at all. Within a region, instances of all failure domains are
 * returned: the additional fraction of a millisecond costs less than a single overloaded instance.
 */
export function chooseAddresses(
  { alive, leaving, homeRegions }: DirectoryView,
  location: CallerLocation,
): readonly string[] {
  const isInCallerRegion = (entry: DirectoryEntry) => entry.region === location.region;
  const isInHomeRegion = (entry: DirectoryEntry) => homeRegions.includes(entry.region);
  const groups = [
    alive.filter(isInCallerRegion),
    alive.filter(isInHomeRegion),
    homeRegions.length === 0 ? [] : leaving.filter(isInCallerRegion),
    leaving.filter(isInHomeRegion),
    alive,
  ];
  const chosen = groups.find((group) => group.length > 0) ?? [];
  return chosen.slice(0, MAX_ADDRESSES).map((entry) => entry.callerAddress);
}
