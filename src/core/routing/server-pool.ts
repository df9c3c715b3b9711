import type { AdaptiveLimit } from '../admission';
import { hashText } from '../hashing';
import { createDenseSet } from './dense-set';
import type { DenseSet } from './dense-set';
import { createHashRing } from './hash-ring';
import type { HashRing } from './hash-ring';
import { createServerState } from './server-state';
import type { PoolServer, ServerState } from './server-state';

/** The servers of one service in this region, indexed so that a decision need not look at all of them. */
export interface ServerPool {
  all(): readonly ServerState[];
  get(serverId: string): ServerState | undefined;
  /** Servers that may be given more work. */
  roomy(): DenseSet<ServerState>;
  roomyIn(failureDomain: string): DenseSet<ServerState>;
  ring(): HashRing<ServerState>;
  /** Files a server anew after its load or its limit has changed. */
  refresh(server: ServerState): void;
  /** Takes over a new list of servers; those that stay keep what was learned of them. */
  replace(servers: readonly PoolServer[]): void;
  /** Work that may be in flight at all of them together. */
  limitUnits(): number;
}

/** Gives each server its place: by hash, so that no instance has to ask another and domains are mixed. */
function placeAll(servers: readonly ServerState[]): void {
  const inOrder = [...servers].sort(
    (left, right) => hashText(left.serverId) - hashText(right.serverId),
  );
  inOrder.forEach((server, index) => server.setPlace(index / inOrder.length));
}

/** An empty pool; `createLimit` makes the limit of a server that is new. */
export function createServerPool(createLimit: () => AdaptiveLimit): ServerPool {
  let states = new Map<string, ServerState>();
  let list: readonly ServerState[] = [];
  let ring: HashRing<ServerState> = createHashRing([], () => '');
  let roomy = createDenseSet<ServerState>();
  let roomyByDomain = new Map<string, DenseSet<ServerState>>();
  let limitSum = 0;
  let countedLimits = new Map<ServerState, number>();

  const domainSet = (failureDomain: string): DenseSet<ServerState> => {
    const known = roomyByDomain.get(failureDomain);
    if (known !== undefined) return known;
    const fresh = createDenseSet<ServerState>();
    roomyByDomain.set(failureDomain, fresh);
    return fresh;
  };

  const refresh = (server: ServerState) => {
    if (states.get(server.serverId) !== server) return;
    const limitUnits = server.limit.limitUnits();
    limitSum += limitUnits - (countedLimits.get(server) ?? 0);
    countedLimits.set(server, limitUnits);
    if (server.limit.hasRoom()) {
      roomy.add(server);
      domainSet(server.failureDomain).add(server);
    } else {
      roomy.delete(server);
      domainSet(server.failureDomain).delete(server);
    }
  };

  return {
    all: () => list,
    get: (serverId) => states.get(serverId),
    roomy: () => roomy,
    roomyIn: domainSet,
    ring: () => ring,
    refresh,
    replace(servers) {
      const kept = (server: PoolServer): ServerState => {
        const known = states.get(server.serverId);
        const isSame =
          known !== undefined &&
          known.address === server.address &&
          known.failureDomain === server.failureDomain;
        return isSame ? known : createServerState(server, createLimit());
      };
      list = servers.map(kept);
      placeAll(list);
      states = new Map(list.map((state) => [state.serverId, state]));
      ring = createHashRing(list, ({ serverId }) => serverId);
      roomy = createDenseSet();
      roomyByDomain = new Map();
      countedLimits = new Map();
      limitSum = 0;
      list.forEach(refresh);
    },
    limitUnits: () => limitSum,
  };
}
