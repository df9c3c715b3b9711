import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRouteTableStore } from '../host-routes';
import type { RouteTable } from '../host-routes';
import { createLoadBoard } from '../load-sharing';
import { createServerRegistry } from '../server-registry';
import { createRouter } from './create-router';
import { observeDestination } from './observe-destination';
import type { ForwardPeer } from './other-regions';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

const CHAT = 'chat';
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
        copyMsPerToken: undefined,
      },
    ],
  ]),
  limits: { headerBytes: 8_192, bodyBytes: 8_192, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  accounts: undefined,
};
const PLAN: RequestPlan = {
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
const REQUEST: InboundRequest = {
  requestId: 'r',
  method: 'POST',
  path: '/chat/1',
  headers: [],
  body: new Uint8Array(),
  receivedAtMs: 0,
  lastEventId: undefined,
  demand: { parts: [{ partId: 'own', tokens: 800 }], promptTokens: 800 },
};
const NOTHING_TRIED: TriedDestinations = { ids: new Set(), refusingRegions: new Set() };

/** An instance of the north beside two of the south, with a server in each region. */
function north(peers: readonly ForwardPeer[]) {
  let nowMs = 0;
  const routes = createRouteTableStore();
  routes.offer(TABLE);
  const servers = createServerRegistry({
    regionOf: (domain) => domain.split('-')[0],
    coldStartMs: () => 0,
  });
  const announce = (serverId: string, failureDomain: string): void =>
    servers.put(
      {
        serverId,
        startedAtUnixMs: undefined,
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
  const router = createRouter({
    others: createLoadBoard(),
    onRead() {},
    region: 'north',
    routes,
    servers,
    pool: { hasRoom: () => true, hasIdle: () => false },
    coldGate: { isOpen: () => true, noteSent() {}, keepOnly() {} },
    peers: () => peers,
    instancesInRegion: () => 20,
    draw: () => 0,
  });
  const clock = { monotonicMs: () => nowMs };
  return {
    router,
    servers,
    announce,
    choose: (tried = NOTHING_TRIED, more: Partial<RequestPlan> = {}) =>
      router.choose(REQUEST, { ...PLAN, ...more }, tried, nowMs),
    observe: (to: Parameters<typeof observeDestination>[1]) =>
      observeDestination({ clock, router, request: REQUEST, plan: PLAN }, to),
    passMs(ms: number) {
      nowMs += ms;
    },
  };
}

function peer(instanceId: string): ForwardPeer {
  return { instanceId, region: 'south', forwardAddress: `${instanceId}:1`, inFlightRequests: 0 };
}

const SOUTH = [peer('b-1'), peer('b-2')];

describe('a region that has lost its servers', () => {
  // All servers of the north go down at once. What is known of the south is from before: it looks idle for a
  // second or two, whatever is sent there. Without a bound all callers of the north are sent there, wait for a
  // long round trip, and most are refused there.
  it('sends the other one a few requests first, and more as their first bytes come', () => {
    const region = north(SOUTH);
    region.announce('s-1', 'south-a');
    const firstByteAfterMs = 250;
    const arrivalEveryMs = 10;
    const waiting: { readonly dueAtMs: number; noteFirstByte(): void }[] = [];
    const sentBySecond = [0, 0, 0];
    for (let atMs = 0; atMs < 3_000; atMs += arrivalEveryMs) {
      while ((waiting[0]?.dueAtMs ?? Infinity) <= atMs) waiting.shift()?.noteFirstByte();
      const to = region.choose();
      if (to.kind === 'peer') {
        const { noteFirstByte } = region.observe(to);
        waiting.push({ dueAtMs: atMs + firstByteAfterMs, noteFirstByte });
        const second = Math.floor(atMs / 1_000);
        sentBySecond[second] = (sentBySecond[second] ?? 0) + 1;
      }
      if (atMs < firstByteAfterMs) assert.ok(waiting.length <= 8, 'too many before any answer');
      region.passMs(arrivalEveryMs);
    }
    const [first = 0, second = 0, third = 0] = sentBySecond;
    assert.ok(first < 80, `${first} in the first second`);
    assert.ok(second > 60, `${second} in the second one`);
    assert.ok(third > 90, `${third} in the third one`);
  });

  // The south refuses a request for want of room. Its other instances look at the same servers, so asking them
  // too only costs the caller another round trip.
  it('does not ask its next instance after a refusal there', () => {
    const region = north(SOUTH);
    region.announce('s-1', 'south-a');
    const first = region.choose();
    assert.equal(first.kind, 'peer');
    if (first.kind !== 'peer') return;
    region.observe(first).noteEnd('refused');
    const next = region.choose({
      ids: new Set([first.peer.instanceId]),
      refusingRegions: new Set([first.peer.region]),
    });
    assert.equal(next.kind, 'none');
    assert.equal(region.choose().kind, 'peer', 'the next request is sent there');
  });
});

/** Guards against a draw of failing servers beside a sound one that is not drawn. */
describe('servers of which most fail', () => {
  it('get nothing while one of them is sound', () => {
    const region = north([]);
    for (let index = 1; index <= 20; index += 1) region.announce(`n-${index}`, 'north-a');
    for (let index = 1; index <= 19; index += 1) {
      for (let failures = 0; failures < 3; failures += 1) {
        region.router.loads.noteSent(`n-${index}`, 0, 0);
        const ended = { hadFirstByte: false, tokens: 0, isFailure: true };
        region.router.loads.noteEnded(`n-${index}`, ended, 0);
      }
    }
    const to = region.choose();
    assert.equal(to.kind === 'server' && to.server.serverId, 'n-20');
  });
});

describe('a request of another region that is refused here', () => {
  // The south is full, and its neighbour asks for hundreds of requests. Did each of them take a place in the line of
  // those who come back, callers of the south would be told to stay away for the longest time.
  it('takes no place in line from the callers of this region', () => {
    const region = north([]);
    for (let count = 0; count < 200; count += 1) {
      region.choose(NOTHING_TRIED, { isForwarded: true });
    }
    const first = region.choose();
    const second = region.choose();
    assert.equal(first.kind === 'none' ? first.retryAfterMs : 0, 1_000);
    assert.ok(second.kind === 'none' && second.retryAfterMs < 1_200);
  });
});

describe('a server that has crashed and is still announced', () => {
  // Each request that is sent to it costs a connection that cannot be made, and one of the few tries that a request
  // has, while the other region could have served it at once.
  it('is passed over for another region after the first connection that could not be made', () => {
    const region = north(SOUTH);
    region.announce('n-1', 'north-a');
    region.announce('s-1', 'south-a');
    assert.equal(region.choose().kind, 'server');
    region.router.loads.noteUnreachable('n-1', 0);
    assert.equal(region.choose().kind, 'peer');
  });

  it('is still tried where no other region helps', () => {
    const region = north([]);
    region.announce('n-1', 'north-a');
    region.router.loads.noteUnreachable('n-1', 0);
    assert.equal(region.choose().kind, 'server');
  });
});
