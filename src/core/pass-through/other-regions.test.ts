import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSpillWindows } from '../placement';
import { createSeededRandom } from '../random';
import { createServerRegistry } from '../server-registry';
import { createOtherRegions } from './other-regions';
import type { ForwardPeer } from './other-regions';
import type { RequestPlan, TriedDestinations } from './types';

const PLAN: RequestPlan = {
  route: 'chat',
  service: 'chat',
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
const NOTHING_TRIED: TriedDestinations = { ids: new Set(), refusingRegions: new Set() };

function peer(instanceId: string, region: string, more: Partial<ForwardPeer> = {}): ForwardPeer {
  return { instanceId, region, forwardAddress: `${instanceId}:1`, inFlightRequests: 0, ...more };
}

/** Creates the view of an instance of the north on two other regions with a chat and a code server each. */
function createView(initialPeers: readonly ForwardPeer[], regionalRoom = true) {
  let peers = initialPeers;
  const random = createSeededRandom(5);
  const windows = createSpillWindows();
  const servers = createServerRegistry({
    regionOf: (domain) => domain.split('-')[0],
    coldStartMs: () => 0,
  });
  for (const region of ['south', 'east']) {
    for (const service of ['chat', 'code']) {
      servers.put(
        {
          serverId: `${region}-${service}`,
          startedAtUnixMs: undefined,
          softwareVersion: 'v1',
          service,
          address: `${region}-${service}:1`,
          failureDomain: `${region}-a`,
          slots: 50,
          isDraining: false,
          coldForMs: 0,
          goneInMs: undefined,
        },
        0,
      );
    }
  }
  const regions = createOtherRegions({
    region: 'north',
    servers,
    windows,
    pool: { hasIdleConnection: () => false },
    peers: () => peers,
    draw: () => random.next(),
    regionalRoom: () => regionalRoom,
  });
  return {
    regions,
    windows,
    servers,
    options: () => regions.options(PLAN, NOTHING_TRIED),
    learnPeers(changed: readonly ForwardPeer[]) {
      peers = changed;
    },
  };
}

const BUSY_WITH_CODE = peer('b-1', 'south', {
  inFlightRequests: 50,
  openRequestsByService: [
    ['chat', 10],
    ['code', 40],
  ],
});
const OLDER = peer('c-1', 'east', { inFlightRequests: 20 });

/** Guards against requests that are sent to a region or an instance that cannot serve them. */
describe('the other regions of an instance', () => {
  it('are rated by the open requests of the service, and by the total of an older release', () => {
    assert.deepEqual(createView([BUSY_WITH_CODE, OLDER]).options(), [
      { region: 'south', room: 40, utilization: 0.2 },
      { region: 'east', room: 30, utilization: 0.4 },
    ]);
  });

  it('are rated by all open requests per slot with the choice by room turned off', () => {
    const { regions, options } = createView([BUSY_WITH_CODE, OLDER], false);
    assert.deepEqual(
      options().map(({ region, utilization }) => [region, utilization]),
      [
        ['south', 0.5],
        ['east', 0.2],
      ],
    );
    assert.equal(regions.roomDraw(), undefined);
  });

  // Requests that are sent to a lost region wait for a timeout.
  it('lack a region whose instances are gone', () => {
    const view = createView([BUSY_WITH_CODE, OLDER]);
    view.learnPeers([OLDER]);
    assert.deepEqual(
      view.options().map(({ region }) => region),
      ['east'],
    );
  });

  it('lack a region whose servers are drained', () => {
    const view = createView([BUSY_WITH_CODE, OLDER]);
    for (const server of view.servers.usable('chat', 'south')) {
      view.servers.markLeaving(server.incarnationId, 0);
    }
    assert.deepEqual(
      view.options().map(({ region }) => region),
      ['east'],
    );
  });

  // Reports of the south still arrive and show an idle region, but nothing that is sent there is answered.
  it('lack a region that is cut off in one direction, once a window of requests waits there', () => {
    const view = createView([BUSY_WITH_CODE]);
    let sent = 0;
    while (view.options().length > 0 && sent < 1_000) {
      view.windows.begin('chat', 'south');
      sent += 1;
    }
    assert.equal(sent, 8);
    // Their timeouts shrink the window to its minimum, so that the region is only probed.
    for (let ended = 0; ended < sent; ended += 1) {
      view.windows.end('chat', 'south', { kind: 'refused' }, (ended + 1) * 1_000);
    }
    let probes = 0;
    while (view.options().length > 0 && probes < 1_000) {
      view.windows.begin('chat', 'south');
      probes += 1;
    }
    assert.equal(probes, 2);
  });

  // The draw of a single instance would send as much to a busy instance as to an idle one.
  it('are reached more often over instances with fewer open requests', () => {
    const busy = [1, 2, 3].map((index) => peer(`busy-${index}`, 'south', { inFlightRequests: 40 }));
    const idle = peer('idle', 'south', { inFlightRequests: 2 });
    const view = createView([...busy, idle]);
    let toIdle = 0;
    for (let index = 0; index < 1_000; index += 1) {
      if (view.regions.pickPeer('south', NOTHING_TRIED)?.instanceId === 'idle') toIdle += 1;
    }
    // A random pair of four holds the idle one in half of the cases.
    assert.ok(toIdle > 450 && toIdle < 550, `${toIdle} of 1000`);
  });

  it('are reached over the only candidate if there is one', () => {
    const view = createView([BUSY_WITH_CODE]);
    assert.equal(view.regions.pickPeer('south', NOTHING_TRIED)?.instanceId, 'b-1');
    const tried = { ...NOTHING_TRIED, ids: new Set(['b-1']) };
    assert.equal(view.regions.pickPeer('south', tried), undefined);
  });
});
