import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createPeerLoads,
  createLoadBroadcaster,
  createCachedPartsBuffer,
  parseLoadUpdate,
  serializeLoadUpdate,
} from '.';
import type { InstanceServerLoad, LoadUpdate } from '.';

const SERVER_LOAD: InstanceServerLoad = { incarnationId: 's-1', inFlight: 3, pendingTokens: 9_000 };

function loadUpdate(from: string, servers: readonly InstanceServerLoad[]): LoadUpdate {
  return { from, servers, cachedParts: [] };
}

describe('the load of the other instances', () => {
  // Two instances have just sent long prompts to the same server, which no load report shows yet. Without their
  // updates, a third instance would send its prompt there as well, and callers would wait beside an idle server.
  it('is the sum of their latest updates', () => {
    const peerLoads = createPeerLoads();
    peerLoads.receive(loadUpdate('a', [SERVER_LOAD]), 0);
    peerLoads.receive(loadUpdate('b', [SERVER_LOAD]), 0);
    peerLoads.receive(loadUpdate('b', [{ ...SERVER_LOAD, inFlight: 1, pendingTokens: 500 }]), 100);
    assert.equal(peerLoads.inFlight('s-1'), 4);
    assert.equal(peerLoads.pendingTokens('s-1'), 9_500);
    peerLoads.receive(loadUpdate('a', []), 200);
    assert.equal(peerLoads.inFlight('s-1'), 1);
    assert.equal(peerLoads.inFlight('s-2'), 0);
  });

  // Instances of a large region send updates less often than they expired, so the load of live instances was dropped
  // between two updates, and prompts were sent to servers that others had just filled.
  it('includes all live instances of a large region between their updates', () => {
    const instances = 200;
    const peerLoads = createPeerLoads();
    let nowMs = 0;
    const senders = Array.from({ length: instances }, (_unused, index) =>
      createLoadBroadcaster({
        selfId: `i-${index}`,
        servers: () => [SERVER_LOAD],
        cachedParts: createCachedPartsBuffer(),
        addresses: () => Array.from({ length: instances }, () => 'here'),
        send(_address, text) {
          const update = parseLoadUpdate(text);
          if (update !== undefined) peerLoads.receive(update, nowMs);
        },
      }),
    );
    for (; nowMs <= 12_000; nowMs += 50) {
      for (const sender of senders) sender.sendIfDue(nowMs);
      peerLoads.removeExpired(nowMs);
      assert.equal(peerLoads.reportingInstanceCount(), instances);
    }
  });

  // An instance loses power. If its ended requests still counted, the server would get fewer requests for ever.
  it('excludes instances whose updates have expired', () => {
    const peerLoads = createPeerLoads();
    peerLoads.receive(loadUpdate('a', [SERVER_LOAD]), 0);
    peerLoads.receive(loadUpdate('b', []), 1_900);
    peerLoads.removeExpired(2_001);
    assert.equal(peerLoads.inFlight('s-1'), 0);
    assert.equal(peerLoads.reportingInstanceCount(), 1);
  });
});

describe('the load broadcaster', () => {
  function setUp(count: number) {
    const sent: { address: string; update: LoadUpdate | undefined }[] = [];
    let servers: readonly InstanceServerLoad[] = [SERVER_LOAD];
    const buffer = createCachedPartsBuffer();
    const broadcaster = createLoadBroadcaster({
      cachedParts: buffer,
      selfId: 'self',
      servers: () => servers,
      addresses: () => Array.from({ length: count }, (_, index) => `10.0.0.${index}:1`),
      send: (address, text) => sent.push({ address, update: parseLoadUpdate(text) }),
    });
    const setServers = (next: readonly InstanceServerLoad[]): void => {
      servers = next;
    };
    return { sent, broadcaster, buffer, setServers };
  }

  it('sends cached parts once and open requests with each update', () => {
    const { sent, broadcaster, buffer } = setUp(1);
    buffer.add('s-1', ['q', 'p', 'q']);
    broadcaster.sendIfDue(0);
    broadcaster.sendIfDue(100);
    assert.deepEqual(sent[0]?.update?.cachedParts, [{ incarnationId: 's-1', partIds: ['p', 'q'] }]);
    assert.deepEqual(sent[1]?.update, loadUpdate('self', [SERVER_LOAD]));
  });

  it('reports once that no requests are open, and then only sends heartbeats', () => {
    const { sent, broadcaster, setServers } = setUp(1);
    broadcaster.sendIfDue(0);
    setServers([]);
    for (let nowMs = 100; nowMs <= 1_900; nowMs += 100) broadcaster.sendIfDue(nowMs);
    assert.equal(sent.length, 4);
    assert.deepEqual(sent.at(-1)?.update, loadUpdate('self', []));
  });

  // A region grows to several times its instances. At a constant interval, the processor time that each instance spends
  // on the updates of the others would grow by the same factor.
  const messageCounts = [
    { others: 2, sentInTwoSeconds: 40 },
    { others: 4, sentInTwoSeconds: 80 },
    { others: 24, sentInTwoSeconds: 96 },
    { others: 80, sentInTwoSeconds: 80 },
  ];
  for (const { others, sentInTwoSeconds } of messageCounts) {
    it(`limits the number of messages with ${others} other instances`, () => {
      const { sent, broadcaster } = setUp(others);
      for (let nowMs = 0; nowMs < 2_000; nowMs += 50) broadcaster.sendIfDue(nowMs);
      assert.equal(sent.length, sentInTwoSeconds);
    });
  }

  it('serializes and parses updates, and rejects invalid text', () => {
    const update = {
      from: 'a',
      servers: [SERVER_LOAD],
      cachedParts: [{ incarnationId: 's', partIds: ['p'] }],
    };
    assert.deepEqual(parseLoadUpdate(serializeLoadUpdate(update)), update);
    for (const text of [
      '',
      '{',
      '[]',
      '{"from":"a"}',
      '["",[],[]]',
      '["a",[{}],[]]',
      '["a",[["s"]],[]]',
    ]) {
      assert.equal(parseLoadUpdate(text), undefined);
    }
  });
});
