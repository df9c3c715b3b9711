/** Counts the slots of servers that are in use, at the instance that does so for its region. */
export interface SlotCounts {
  /** Takes a slot; asking again with the id of a lease that is held takes no second one. */
  take(serverId: string, leaseId: string, slots: number, nowMs: number): boolean;
  /** Records all leases that an instance holds of a server; others of that instance have ended. */
  renew(serverId: string, held: HeldLeases, nowMs: number): void;
  /** Gives a slot back. */
  release(serverId: string, leaseId: string, wasRejected: boolean, nowMs: number): void;
  keepOnly(serverIds: ReadonlySet<string>): void;
}

/** Leases that one instance holds of a server. */
export interface HeldLeases {
  readonly holderId: string;
  /** Leases that it holds; those that are unknown here were granted by another counter. */
  readonly leaseIds: readonly string[];
  /** Leases that it has asked for; if one has been granted, the answer may be on its way. */
  readonly askedIds: readonly string[];
}

interface ServerSlots {
  /** Time at which each lease expires, monotonic ms. */
  readonly expiresAtMs: Map<string, number>;
  /** Slots that the server turned out not to have. */
  missingSlots: number;
  /** Time from which one of these is tried again, monotonic ms. */
  retryAtMs: number;
}

/** Returns the id of a lease: of the instance that holds it, and the number that it gave. */
export function leaseIdOf(holderId: string, number: number): string {
  return `${holderId}/${number}`;
}

function holderOf(leaseId: string): string {
  return leaseId.slice(0, leaseId.lastIndexOf('/'));
}

/** Time after which a lease that is not renewed expires, ms: two renewals in a row may be lost. */
const LEASE_TTL_MS = 1_200;
/** Interval at which one more slot is tried after rejections, ms. */
const RETRY_SLOT_INTERVAL_MS = 2_000;

/**
 * Creates empty counts.
 *
 * A brittle server fails if it has to reject a few requests within a second. Instances that each go by their own view of its
 * load send it more than it has room for together, all of them at the same moment when it has just come back. So a slot is
 * taken at one instance before each request, and no more requests are at the server than it has slots.
 */
export function createSlotCounts(): SlotCounts {
  const servers = new Map<string, ServerSlots>();

  const slotsOf = (serverId: string): ServerSlots => {
    const known = servers.get(serverId);
    if (known !== undefined) return known;
    const created: ServerSlots = { expiresAtMs: new Map(), missingSlots: 0, retryAtMs: 0 };
    servers.set(serverId, created);
    return created;
  };

  const removeExpired = ({ expiresAtMs }: ServerSlots, nowMs: number): void => {
    for (const [leaseId, atMs] of expiresAtMs) if (atMs <= nowMs) expiresAtMs.delete(leaseId);
  };

  return {
    take(serverId, leaseId, slots, nowMs) {
      const server = slotsOf(serverId);
      removeExpired(server, nowMs);
      if (server.missingSlots > 0 && nowMs >= server.retryAtMs) {
        server.missingSlots -= 1;
        server.retryAtMs = nowMs + RETRY_SLOT_INTERVAL_MS;
      }
      const usableSlots = Math.max(1, slots - server.missingSlots);
      const isHeld = server.expiresAtMs.has(leaseId);
      if (!isHeld && server.expiresAtMs.size >= usableSlots) return false;
      server.expiresAtMs.set(leaseId, nowMs + LEASE_TTL_MS);
      return true;
    },
    renew(serverId, { holderId, leaseIds, askedIds }, nowMs) {
      const { expiresAtMs } = slotsOf(serverId);
      const asked = new Set(askedIds);
      for (const leaseId of expiresAtMs.keys()) {
        if (holderOf(leaseId) === holderId && !asked.has(leaseId)) expiresAtMs.delete(leaseId);
      }
      for (const leaseId of leaseIds) expiresAtMs.set(leaseId, nowMs + LEASE_TTL_MS);
    },
    release(serverId, leaseId, wasRejected, nowMs) {
      const server = slotsOf(serverId);
      server.expiresAtMs.delete(leaseId);
      if (!wasRejected) return;
      server.missingSlots += 1;
      server.retryAtMs = nowMs + RETRY_SLOT_INTERVAL_MS;
    },
    keepOnly(serverIds) {
      for (const id of servers.keys()) if (!serverIds.has(id)) servers.delete(id);
    },
  };
}
