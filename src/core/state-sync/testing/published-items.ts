import type { RouteTable } from '../../host-routes';
import type { ServerAnnouncement } from '../../server-registry';
import type { RoutesItem, ServerItem } from '../types';

/** Published items for tests. */

/** Returns the item of a ready server in region north; `overrides` replaces parts of its announcement. */
export function serverItem(
  serverId: string,
  overrides: Partial<ServerAnnouncement> = {},
): ServerItem {
  return {
    kind: 'server',
    announcement: {
      serverId,
      startedAtUnixMs: undefined,
      softwareVersion: 'v1',
      service: 'app',
      address: '10.0.0.1:80',
      failureDomain: 'north-a',
      slots: 8,
      isDraining: false,
      coldForMs: 0,
      goneInMs: undefined,
      ...overrides,
    },
  };
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
