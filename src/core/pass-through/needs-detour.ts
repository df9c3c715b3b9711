/** What decides whether a request takes a detour through another instance of this region. */
export interface DetourFacts {
  /** Whether this instance reaches no server of its region. */
  readonly isCut: boolean;
  /** Number of servers that could not be reached for this request. */
  readonly triedUnreachable: number;
  /** Whether there is a server for the request that has not lately failed to be reached. */
  readonly hasReachableServer: boolean;
  /** Whether the best remaining server, or one that was tried, could not be reached lately. */
  readonly hasUnreachableServer: boolean;
}

/** Number of servers that a request is tried at in vain before it is passed to another instance. */
const MAX_UNREACHABLE_TRIES = 2;

/**
 * Decides whether a request is passed to another instance of this region.
 *
 * An instance that has lost its links to some or all servers would refuse its callers after a few connections that fail,
 * while other instances reach the servers. A single server that can't be reached has more likely failed itself, so another
 * one is tried first.
 */
export function needsDetour(facts: DetourFacts): boolean {
  if (facts.isCut || facts.triedUnreachable >= MAX_UNREACHABLE_TRIES) return true;
  return !facts.hasReachableServer && facts.hasUnreachableServer;
}
