import { createRequestBody } from '../../held-bytes';
import { createRouteTableStore } from '../../host-routes';
import type { RouteTable } from '../../host-routes';
import { createPeerLoads } from '../../load-sharing';
import type { ServerSpeeds } from '../../placement';
import { createServerRegistry } from '../../server-registry';
import { createRouter } from '../create-router';
import type { LinksToServers } from '../create-router';
import { observeDestination } from '../observe-destination';
import type { ForwardPeer } from '../other-regions';
import type { InboundRequest, RequestPlan, TriedDestinations } from '../types';

/** Service of the requests. */
export const CHAT = 'chat';
const TABLE: RouteTable = {
  version: 1,
  routes: [],
  services: new Map([
    [
      CHAT,
      {
        name: CHAT,
        maxConnections: 500,
        coldStartMs: 0,
        coldRequestsPerSecond: 0,
        healthPath: '/health',
        copyMsPerToken: 0.004,
        memoryTokens: undefined,
      },
    ],
  ]),
  limits: { headerBytes: 8_192, bodyBytes: 8_192, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  accounts: undefined,
};
export const PLAN: RequestPlan = {
  route: 'chat',
  service: CHAT,
  kind: 'stream',
  isResumable: false,
  priority: 1,
  objectiveMs: 600,
  pauseObjectiveMs: undefined,
  maxAttempts: 1,
  homeRegions: [],
  routesVersion: 1,
  deadlineAtMs: 1_000_000,
  timeoutAtMs: 1_000_000,
  isForwarded: false,
  account: undefined,
};
export const REQUEST: InboundRequest = {
  requestId: 'r',
  method: 'POST',
  path: '/chat/1',
  headers: [],
  body: createRequestBody([]),
  receivedAtMs: 0,
  lastEventId: undefined,
  resumedRequestId: undefined,
  demand: { parts: [{ partId: 'own', tokens: 800 }], promptTokens: 800 },
};
export const NOTHING_TRIED: TriedDestinations = { ids: new Set(), refusingRegions: new Set() };

/** Creates an instance of the region north with the given peers; `announce` adds servers. */
export function createNorthInstance(
  peers: readonly ForwardPeer[],
  serverSpeeds?: ServerSpeeds,
  links?: LinksToServers,
) {
  let nowMs = 0;
  const routes = createRouteTableStore();
  routes.offer(TABLE);
  const servers = createServerRegistry({
    regionOf: (domain) => domain.split('-')[0],
    coldStartMs: () => 0,
  });
  const announce = (serverId: string, failureDomain: string, softwareVersion = 'v1'): void =>
    servers.put(
      {
        serverId,
        startedAtUnixMs: undefined,
        softwareVersion,
        service: CHAT,
        address: `${serverId}:1`,
        failureDomain,
        slots: 64,
        isDraining: false,
        coldForMs: 0,
        goneInMs: undefined,
      },
      nowMs,
    );
  /** Remaining time of pauses that servers have asked for, ms. */
  const pausedMs = new Map<string, number>();
  const router = createRouter({
    otherLoads: createPeerLoads(),
    onPartsCached() {},
    region: 'north',
    routes,
    servers,
    pool: { hasCapacity: () => true, hasIdleConnection: () => false },
    coldServerLimiter: { maySend: () => true, recordSent() {}, keepOnly() {} },
    limits: { waitMs: () => 0 },
    notices: { waitMs: (incarnationId) => pausedMs.get(incarnationId) ?? 0 },
    peers: () => peers,
    instancesInRegion: () => 20,
    priorityAdmission: true,
    serverSpeeds,
    ...(links && { links }),
    draw: () => 0,
  });
  const clock = { monotonicMs: () => nowMs };
  return {
    router,
    servers,
    pausedMs,
    announce,
    choose: (tried = NOTHING_TRIED, more: Partial<RequestPlan> = {}, request = REQUEST) =>
      router.choose(request, { ...PLAN, ...more }, tried, nowMs),
    observe: (
      to: Parameters<typeof observeDestination>[1],
      more: Partial<RequestPlan> = {},
      request = REQUEST,
    ) => observeDestination({ clock, router, request, plan: { ...PLAN, ...more } }, to),
    advanceMs(ms: number) {
      nowMs += ms;
    },
  };
}
