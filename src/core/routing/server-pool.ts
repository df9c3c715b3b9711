import type { AdaptiveLimit } from '../admission';
import { hashText } from '../hashing';
import { createDenseSet } from './dense-set';
import type { DenseSet } from './dense-set';
import { createHashRing } from './hash-ring';
import type { HashRing } from './hash-ring';
import { createServerState } from './server-state';
import type { PoolServer, ServerState } from './server-state';

/** The servers of one service in this region, indexed so that a decision need not scan all of them. */
export interface ServerPool {
  all(): readonly ServerState[];
  get(serverId: string): ServerState | undefined;
  /** Servers that have capacity for more work. */
  available(): DenseSet<ServerState>;
  availableIn(failureDomain: string): DenseSet<ServerState>;
  ring(): HashRing<ServerState>;
  /** Updates the index after the load or limit of a server has changed. */
  refresh(server: ServerState): void;
  /** Replaces the list of servers; unchanged servers keep their state. */
  replace(servers: readonly PoolServer[]): void;
  /** Returns the sum of the limits of all servers, in work units. */
  limitUnits(): number;
}

/**
 * Ranks the servers in the order of the hash of their ids, from 0 to less than 1, so that all instances agree
 * without communicating and failure domains are mixed.
 */
function assignHashRanks(servers: readonly ServerState[]): void {
  const sortedByHash = [...servers].sort(
    (left, right) => hashText(left.serverId) - hashText(right.serverId),
  );
  sortedByHash.forEach((server, index) => server.setHashRank(index / sortedByHash.length));
}

/** Creates an empty pool; `createLimit` creates the limit of a new server. */
export function createServerPool(createLimit: () => AdaptiveLimit): ServerPool {
  let states = new Map<string, ServerState>();
  let list: readonly ServerState[] = [];
  let ring: HashRing<ServerState> = createHashRing([], () => '');
  let available = createDenseSet<ServerState>();
  let availableByDomain = new Map<string, DenseSet<ServerState>>();
  let limitSum = 0;
  let countedLimits = new Map<ServerState, number>();

  const domainSet = (failureDomain: string): DenseSet<ServerState> => {
    const known = availableByDomain.get(failureDomain);
    if (known !== undefined) return known;
    const fresh = createDenseSet<ServerState>();
    availableByDomain.set(failureDomain, fresh);
    return fresh;
  };

  const refresh = (server: ServerState) => {
    if (states.get(server.serverId) !== server) return;
    const limitUnits = server.limit.limitUnits();
    limitSum += limitUnits - (countedLimits.get(server) ?? 0);
    countedLimits.set(server, limitUnits);
    if (server.limit.hasCapacity()) {
      available.add(server);
      domainSet(server.failureDomain).add(server);
    } else {
      available.delete(server);
      domainSet(server.failureDomain).delete(server);
    }
  };

  return {
    all: () => list,
    get: (serverId) => states.get(serverId),
    available: () => available,
    availableIn: domainSet,
    ring: () => ring,
    refresh,
    replace(servers) {
      const reuseOrCreate = (server: PoolServer): ServerState => {
        const known = states.get(server.serverId);
        const isSame =
          known !== undefined &&
          known.address === server.address &&
          known.failureDomain === server.failureDomain;
        return isSame ? known : createServerState(server, createLimit());
      };
      list = servers.map(reuseOrCreate);
      assignHashRanks(list);
      states = new Map(list.map((state) => [state.serverId, state]));
      ring = createHashRing(list, ({ serverId }) => serverId);
      available = createDenseSet();
      availableByDomain = new Map();
      countedLimits = new Map();
      limitSum = 0;
      list.forEach(refresh);
    },
    limitUnits: () => limitSum,
  };
}
