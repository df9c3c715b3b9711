import type { RouteTable } from '../../host-routes';
import type { ServerAnnouncement } from '../../server-registry';
import { readyServer } from '../../server-registry/testing/ready-server';
import type { RoutesItem, ServerItem } from '../types';

/** Published items for tests. */

/** Returns the item of a ready server in region north; `overrides` replaces parts of its announcement. */
export function serverItem(
  serverId: string,
  overrides: Partial<ServerAnnouncement> = {},
): ServerItem {
  return { kind: 'server', announcement: readyServer({ serverId, ...overrides }) };
}

/** Returns the item of a version that has no routes; `headerTimeoutMs` distinguishes items of the same version. */
export function routesItem(version: number, headerTimeoutMs = 1_000): RoutesItem {
  const table: RouteTable = {
    version,
    routes: [],
    services: new Map(),
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs, idleTimeoutMs: 1 },
    accounts: undefined,
  };
  return { kind: 'routes', table };
}
