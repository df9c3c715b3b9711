import { createRequestBody } from '../../held-bytes';
import { createRouteTableStore } from '../../host-routes';
import type { RouteTableStore } from '../../host-routes';
import { createServerRegistry } from '../../server-registry';
import type { ServerRegistry } from '../../server-registry';
import type { InboundRequest } from '../types';

/** The routes, the servers and a request of a simulation with one service in one region. */

/** Region of the instances and servers. */
export const SIMULATED_REGION = 'north';

/** Creates routes for one service without a cold start. */
export function createRoutesOf(service: string): RouteTableStore {
  const routes = createRouteTableStore();
  const settings = {
    name: service,
    maxConnections: 100_000,
    coldStartMs: 0,
    coldRequestsPerSecond: 0,
    healthPath: '/health',
    copyMsPerToken: undefined,
    memoryTokens: undefined,
  };
  routes.offer({
    version: 1,
    routes: [],
    services: new Map([[service, settings]]),
    limits: { headerBytes: 8_192, bodyBytes: 8_192, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    accounts: undefined,
  });
  return routes;
}

/** Creates a registry with the given servers of one service. */
export function createServersOf(
  service: string,
  serverIds: readonly string[],
  slots: number,
): ServerRegistry {
  const servers = createServerRegistry({
    regionOf: () => SIMULATED_REGION,
    coldStartMs: () => 0,
  });
  for (const serverId of serverIds) {
    servers.put(
      {
        serverId,
        startedAtUnixMs: undefined,
        softwareVersion: 'v1',
        service,
        address: `${serverId}:1`,
        failureDomain: 'north-a',
        slots,
        isDraining: false,
        coldForMs: 0,
        goneInMs: undefined,
      },
      0,
    );
  }
  return servers;
}

/** Returns a request whose prompt shares no part with another one. */
export function requestWithPrompt(index: number, tokens: number, nowMs: number): InboundRequest {
  return {
    requestId: `r-${index}`,
    method: 'POST',
    path: '/',
    headers: [],
    body: createRequestBody([]),
    receivedAtMs: nowMs,
    lastEventId: undefined,
    resumedRequestId: undefined,
    demand: { parts: [{ partId: `own-${index}`, tokens }], promptTokens: tokens },
  };
}
