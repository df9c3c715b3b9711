import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServerSpeeds } from '../placement';
import type { ServerSpeeds } from '../placement';
import type { ForwardPeer } from './other-regions';
import { CHAT, NOTHING_TRIED, createNorthInstance } from './testing/north-instance';

function peer(instanceId: string): ForwardPeer {
  return { instanceId, region: 'south', forwardAddress: `${instanceId}:1`, inFlightRequests: 0 };
}

const SOUTH = [peer('b-1'), peer('b-2')];
const SOUTH_PEER = peer('b-1');

describe('a request that leaves its region', () => {
  // The log line of a placement has the room, by which an operator sees why a region was chosen.
  it('states the room of the region that it is sent to', () => {
    const region = createNorthInstance([{ ...SOUTH_PEER, openRequestsByService: [[CHAT, 14]] }]);
    region.announce('s-1', 'south-a');
    const to = region.choose();
    assert.deepEqual(to, {
      kind: 'peer',
      peer: { ...SOUTH_PEER, openRequestsByService: [[CHAT, 14]] },
      room: 50,
    });
    assert.equal(to.kind, 'peer');
    if (to.kind !== 'peer') return;
    region.observe(to);
    assert.deepEqual([...region.router.spillWindows.sentByRegion()], [['south', 1]]);
  });
});

describe('a region that has lost its servers', () => {
  // All servers of the north fail at once. What is known of the south is outdated: it looks idle
  // for a second or two, whatever is sent there. Without a limit, all callers of the north would be
  // sent there, wait for a long round trip, and most would be refused there.
  it('sends the other region a few requests first, and more as their first bytes arrive', () => {
    const region = createNorthInstance(SOUTH);
    region.announce('s-1', 'south-a');
    const firstByteAfterMs = 250;
    const arrivalEveryMs = 10;
    const waiting: { readonly dueAtMs: number; recordFirstByte(): void }[] = [];
    const sentBySecond = [0, 0, 0];
    for (let atMs = 0; atMs < 3_000; atMs += arrivalEveryMs) {
      while ((waiting[0]?.dueAtMs ?? Infinity) <= atMs) waiting.shift()?.recordFirstByte();
      const to = region.choose();
      if (to.kind === 'peer') {
        const { recordFirstByte } = region.observe(to);
        waiting.push({ dueAtMs: atMs + firstByteAfterMs, recordFirstByte });
        const second = Math.floor(atMs / 1_000);
        sentBySecond[second] = (sentBySecond[second] ?? 0) + 1;
      }
      if (atMs < firstByteAfterMs) assert.ok(waiting.length <= 8, 'too many before any answer');
      region.advanceMs(arrivalEveryMs);
    }
    const [first = 0, second = 0, third = 0] = sentBySecond;
    assert.ok(first < 80, `${first} in the first second`);
    assert.ok(second > 60, `${second} in the second one`);
    assert.ok(third > 90, `${third} in the third one`);
  });

  // The south refuses a request for lack of capacity. Its other instances choose among the same
  // servers, so trying them too would only cost the caller another round trip.
  it('does not try another instance of a region after a refusal there', () => {
    const region = createNorthInstance(SOUTH);
    region.announce('s-1', 'south-a');
    const first = region.choose();
    assert.equal(first.kind, 'peer');
    if (first.kind !== 'peer') return;
    region.observe(first).recordEnd('refused');
    const next = region.choose({
      ids: new Set([first.peer.instanceId]),
      refusingRegions: new Set([first.peer.region]),
    });
    assert.equal(next.kind, 'none');
    assert.equal(region.choose().kind, 'peer', 'the next request is sent there');
  });
});

/** Guards against a random sample that contains only failing servers although one is healthy. */
describe('a region in which most servers fail', () => {
  it('sends a request to the one healthy server', () => {
    const region = createNorthInstance([]);
    for (let index = 1; index <= 20; index += 1) region.announce(`n-${index}`, 'north-a');
    for (let index = 1; index <= 19; index += 1) {
      for (let failures = 0; failures < 3; failures += 1) {
        region.router.loads.recordSent(`n-${index}`, 0, 0);
        const ended = { hadFirstByte: false, tokens: 0, isFailure: true };
        region.router.loads.recordEnd(`n-${index}`, ended, 0);
      }
    }
    const to = region.choose();
    assert.equal(to.kind === 'server' && to.server.serverId, 'n-20');
  });
});

describe('a request forwarded by another region that is refused here', () => {
  // A full region gets hundreds of forwarded requests from its neighbour. If each of them took a
  // place in the retry schedule, the region's own callers would get the maximum retry delay.
  it('does not delay the retries of callers of this region', () => {
    const region = createNorthInstance([]);
    for (let count = 0; count < 200; count += 1) {
      region.choose(NOTHING_TRIED, { isForwarded: true });
    }
    const first = region.choose();
    const second = region.choose();
    assert.equal(first.kind === 'none' ? first.retryAfterMs : 0, 1_000);
    assert.ok(second.kind === 'none' && (second.retryAfterMs ?? Infinity) < 1_200);
  });
});

describe('a server that has crashed and is still announced', () => {
  // Each request that is sent to such a server costs a failed connection and one of the request's
  // few attempts, while the other region could have served it immediately.
  it('is skipped in favour of another region after the first failed connection', () => {
    const region = createNorthInstance(SOUTH);
    region.announce('n-1', 'north-a');
    region.announce('s-1', 'south-a');
    assert.equal(region.choose().kind, 'server');
    region.router.loads.recordUnreachable('n-1', 0);
    assert.equal(region.choose().kind, 'peer');
  });

  it('is still tried if no other region helps', () => {
    const region = createNorthInstance([]);
    region.announce('n-1', 'north-a');
    region.router.loads.recordUnreachable('n-1', 0);
    assert.equal(region.choose().kind, 'server');
  });
});

describe('a region whose servers have all asked for a pause', () => {
  // All of them refuse for seconds. Callers would be refused meanwhile although another region has room.
  it('sends requests to another region that has room', () => {
    const north = createNorthInstance(SOUTH);
    north.announce('n-1', 'north-a');
    north.announce('s-1', 'south-a');
    north.pausedMs.set('n-1', 3_000);
    assert.equal(north.choose().kind, 'peer');
  });

  // A caller that returns within the pause is refused again, and all of them return at its end.
  it('refuses requests until then, and spreads the return of the callers', () => {
    const north = createNorthInstance([]);
    north.announce('n-1', 'north-a');
    north.announce('n-2', 'north-a');
    north.pausedMs.set('n-1', 3_000);
    north.pausedMs.set('n-2', 9_000);
    const waitsMs = Array.from({ length: 20 }, () => {
      const refusal = north.choose();
      assert.ok(refusal.kind === 'none' && refusal.reason === 'serversPaused');
      return refusal.retryAfterMs ?? NaN;
    });
    assert.ok(
      waitsMs.every((waitMs) => waitMs >= 3_000 && waitMs <= 5_000),
      waitsMs.join(', '),
    );
    assert.ok(new Set(waitsMs).size > 10);
  });
});

describe('a server that states that its work takes longer', () => {
  const stateSlowdown = (serverSpeeds: ServerSpeeds | undefined) => {
    const region = createNorthInstance([], serverSpeeds);
    region.announce('s-1', 'north-a');
    region.announce('s-2', 'north-a');
    const first = region.choose();
    if (first.kind !== 'server') throw new Error('no server');
    const observer = region.observe(first);
    observer.recordLoad({ running: 0, waiting: 0, slots: 64, slowdown: 2.5 });
    observer.recordEnd('answered');
    return { region, statedBy: first.server.serverId };
  };

  // Requests that are sent to a slow machine are late while another server is idle.
  it('gets no request while an equal server is as usual', () => {
    const { region, statedBy } = stateSlowdown(createServerSpeeds());
    region.advanceMs(10);
    const next = region.choose();
    assert.ok(next.kind === 'server' && next.server.serverId !== statedBy);
    assert.equal(next.speedFactor, 1);
  });

  it('is the same as the others if the setting is off', () => {
    const { region, statedBy } = stateSlowdown(undefined);
    const next = region.choose();
    assert.ok(next.kind === 'server' && next.server.serverId === statedBy);
    assert.equal(next.speedFactor, 1);
  });

  // If the predictions for all servers took over the slowness of one, requests would be refused that are in time.
  it('does not change the predictions for the others', () => {
    const predicted = [2.5, undefined].map((slowdown) => {
      const region = createNorthInstance([], createServerSpeeds());
      region.announce('s-1', 'north-a');
      for (let count = 0; count < 50; count += 1) {
        const to = region.choose();
        if (to.kind !== 'server') throw new Error('no server');
        const observer = region.observe(to);
        observer.recordLoad({ running: 0, waiting: 0, slots: 64, slowdown: slowdown ?? 1 });
        region.advanceMs(to.predictedMs);
        observer.recordFirstByte();
        region.advanceMs(200 * (slowdown ?? 1));
        observer.recordEnd('answered');
      }
      region.announce('s-2', 'north-a');
      const to = region.choose({ ids: new Set(['s-1']), refusingRegions: new Set() });
      return to.kind === 'server' ? to.predictedMs : undefined;
    });
    const [afterSlow, afterUsual] = predicted;
    assert.ok(afterSlow !== undefined && afterUsual !== undefined);
    assert.ok(Math.abs(afterSlow / afterUsual - 1) < 0.1, `${afterSlow}, not ${afterUsual}`);
  });
});

describe('the prediction after a cut of all links', () => {
  // Requests that hung get their first bytes when the links are back. If the time that they hung counted as the servers'
  // work, the instance would refuse its next callers beside idle servers.
  it('is the same as before', () => {
    let wasCut = false;
    const links = { isCut: () => false, isUnreachable: () => false, wasCutSince: () => wasCut };
    const region = createNorthInstance([], undefined, links);
    region.announce('n-1', 'north-a');
    const before = region.choose();
    assert.ok(before.kind === 'server');
    const hanging = Array.from({ length: 6 }, () => region.observe(before));
    region.advanceMs(1_500);
    wasCut = true;
    for (const request of hanging) {
      request.recordFirstByte();
      request.recordEnd('answered');
    }
    // The first server has the prompt in its cache now, the second one is new.
    region.announce('n-2', 'north-a');
    const atFirst = region.choose({ ...NOTHING_TRIED, ids: new Set(['n-2']) });
    const atSecond = region.choose({ ...NOTHING_TRIED, ids: new Set(['n-1']) });
    assert.equal(atFirst.kind === 'server' ? atFirst.predictedMs : atFirst.kind, 0);
    assert.equal(
      atSecond.kind === 'server' ? atSecond.predictedMs : atSecond.kind,
      before.predictedMs,
    );
  });
});

// A hedge of another region was served as any request there, and placed at a server that is silent as well: its caller waited
// for its deadline.
describe('a hedge that another region has sent', () => {
  const cases = [
    { name: 'goes to a server that answers', hasOther: true, isHedge: true, server: 'n-2' },
    { name: 'is refused if all servers are silent', hasOther: false, isHedge: true },
    { name: 'is served as any other request if it is none', hasOther: true, server: 'n-1' },
  ];
  for (const { name, hasOther, isHedge, server } of cases) {
    it(name, () => {
      const region = createNorthInstance([]);
      region.announce('n-1', 'north-a');
      const silent = region.choose();
      if (silent.kind !== 'server') assert.fail('no server was chosen');
      region.observe(silent);
      region.advanceMs(700);
      if (hasOther) {
        region.announce('n-2', 'north-b');
        const busy = region.choose({
          ...NOTHING_TRIED,
          ids: new Set([silent.server.incarnationId]),
        });
        if (busy.kind !== 'server') assert.fail('no other server was chosen');
        for (let open = 0; open < 30; open += 1) region.observe(busy);
      }
      const to = region.choose(NOTHING_TRIED, { isForwarded: true, isHedge });
      assert.equal(to.kind === 'server' ? to.server.serverId : undefined, server);
    });
  }
});
