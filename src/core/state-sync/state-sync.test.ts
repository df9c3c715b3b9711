import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRouteTableStore } from '../host-routes';
import { createServerRegistry } from '../server-registry';
import type { ServerAnnouncement } from '../server-registry';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { routesItem, serverItem } from './testing/published-items';
import { STATE_SYNC_EVENTS, createStateSync, readSnapshot, writeSnapshot } from '.';
import type {
  Position,
  PublishedChange,
  PublishedChanges,
  PublishedItem,
  PublishedState,
  StateSource,
} from '.';

type Answer<Value> = Value | 'fails';

/** A source that gives the answers of a list, and then waits for ever. */
function createSource(
  reads: readonly Answer<PublishedState>[],
  watches: readonly Answer<PublishedChanges>[],
) {
  const readsLeft = [...reads];
  const watchesLeft = [...watches];
  const waitsMs: number[] = [];
  const next = async <Value>(left: Answer<Value>[]): Promise<Value> => {
    const answer = left.shift();
    if (answer === 'fails') throw new Error('no answer');
    if (answer !== undefined) return answer;
    return new Promise(() => {});
  };
  const source: StateSource = {
    readAll: () => next(readsLeft),
    watch(_revision, waitMs) {
      waitsMs.push(waitMs);
      return next(watchesLeft);
    },
  };
  return { source, waitsMs };
}

function at(revision: number, era = 1): Position {
  return { era, revision };
}

function state(revision: number, items: readonly PublishedItem[], era?: number): PublishedState {
  return { position: at(revision, era), items, unreadable: [] };
}

function changes(revision: number, gone: readonly string[]): PublishedChanges {
  return {
    kind: 'changes',
    position: at(revision),
    changes: gone.map((serverId) => ({ kind: 'serverGone' as const, serverId, revision })),
  };
}

/** A source that was away while the entries of two servers lapsed, one of which is back. */
function createSourceAfterOutage() {
  return createSource(
    [state(5, [serverItem('back'), serverItem('gone')])],
    [
      'fails',
      'fails',
      changes(9, ['back', 'gone']),
      {
        kind: 'changes',
        position: at(10),
        changes: [{ kind: 'put', revision: 10, item: serverItem('back') }],
      },
    ],
  );
}

function setUp(
  source: StateSource,
  askPeer: () => Promise<PublishedState | undefined> = async () => undefined,
  latestElsewhere = 0,
) {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const table = createRouteTableStore();
  const servers = createServerRegistry({ regionOf: () => 'north', coldStartMs: () => 3_000 });
  const sync = createStateSync({
    clock,
    logger,
    source,
    servers,
    routes: table,
    random: { next: () => 0 },
    askPeer,
    latestElsewhere: () => latestElsewhere,
  });
  return { clock, logger, table, servers, sync };
}

const ids = (known: readonly { readonly serverId: string }[]) =>
  known.map(({ serverId }) => serverId);

describe('the copy of what is published', () => {
  it('holds what was read, and what changed since', async () => {
    const { source } = createSource(
      [state(5, [routesItem(3), serverItem('s-1'), serverItem('s-2')])],
      [changes(6, ['s-1'])],
    );
    const { clock, table, servers, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(10);
    assert.equal(table.current()?.table.version, 3);
    assert.deepEqual(ids(servers.all()), ['s-2']);
  });

  // Someone else overwrites the entry of a server with bytes that mean nothing, and the server sets it right. What came
  // last decides, whatever came before it in the same answer.
  const damaged: PublishedChange = {
    kind: 'unreadable',
    revision: 7,
    item: { key: 'servers/s-1', serverId: 's-1', reason: 'no JSON' },
  };
  const announced: PublishedChange = { kind: 'put', revision: 7, item: serverItem('s-1') };
  const orders = [
    { name: 'a damaged entry after a good one', changes: [announced, damaged], left: [] },
    { name: 'a good entry after a damaged one', changes: [damaged, announced], left: ['s-1'] },
  ];
  for (const { name, changes: inOrder, left } of orders) {
    it(`goes by ${name}`, async () => {
      const { source } = createSource(
        [state(5, [serverItem('s-1')])],
        [{ kind: 'changes', position: at(7), changes: inOrder }],
      );
      const { clock, servers, sync } = setUp(source);
      sync.start();
      await clock.advanceByAsync(10);
      assert.deepEqual(ids(servers.all()), left);
    });
  }

  // After an outage a server's own entry is missing for a moment and it stays in use. An entry that is there and means
  // nothing is no such gap.
  it('ends the use of a server whose entry is damaged in a read after an outage', async () => {
    const { source } = createSource(
      [
        state(5, [serverItem('s-1'), serverItem('s-2')]),
        {
          position: at(9),
          items: [serverItem('s-2')],
          unreadable: [{ key: 'servers/s-1', serverId: 's-1', reason: 'no JSON' }],
        },
      ],
      ['fails', { kind: 'historyGone' }],
    );
    const { clock, servers, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(1_000);
    assert.deepEqual(ids(servers.all()), ['s-2']);
  });

  // The store is away for some seconds and all entries lapse meanwhile. The servers live; without them in use
  // every request is refused until they have announced themselves again.
  it('keeps servers whose entries lapsed in an outage until they had time to come back', async () => {
    const { source } = createSourceAfterOutage();
    const { clock, servers, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(1_000);
    assert.deepEqual(ids(servers.all()).sort(), ['back', 'gone']);
    await clock.advanceByAsync(3_000);
    assert.deepEqual(ids(servers.all()), ['back']);
  });

  // An instance starts right after an outage and begins with what another one holds, of which some is waited for. It goes
  // on from a revision after the removal and never hears of it, and sends to a server that is gone for as long as it runs.
  it('hands on no server whose removal is only waited out', async () => {
    const { source } = createSourceAfterOutage();
    const { clock, servers, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(1_000);
    assert.deepEqual(ids(servers.all()).sort(), ['back', 'gone']);
    const handedOn = sync
      .snapshot()
      .items.flatMap((item) => (item.kind === 'server' ? [item.announcement.serverId] : []));
    assert.deepEqual(handedOn, ['back']);
  });

  // The same, where the history is gone too, so that everything is read again.
  it('goes on watching while it waits for servers to come back', async () => {
    const { source } = createSource(
      [state(5, [serverItem('gone')]), state(9, [])],
      [
        'fails',
        { kind: 'historyGone' },
        {
          kind: 'changes',
          position: at(10),
          changes: [{ kind: 'put', revision: 10, item: routesItem(8) }],
        },
      ],
    );
    const { clock, servers, table, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(500);
    assert.equal(table.current()?.table.version, 8);
    assert.deepEqual(ids(servers.all()), ['gone']);
    await clock.advanceByAsync(3_000);
    assert.deepEqual(ids(servers.all()), []);
  });

  // The store turns one instance away and serves the others. An evacuation that it misses would let it send to
  // servers that operators are working on.
  it('asks another instance as soon as the source fails', async () => {
    const { source, waitsMs } = createSource([state(5, [serverItem('s-1')])], ['fails', 'fails']);
    const evacuation: PublishedItem = { kind: 'evacuation', failureDomain: 'north-a' };
    const { clock, servers, sync, logger } = setUp(source, async () =>
      state(7, [serverItem('s-1'), evacuation]),
    );
    sync.start();
    await clock.advanceByAsync(50);
    assert.deepEqual(servers.evacuated(), ['north-a']);
    await clock.advanceByAsync(2_000);
    assert.equal(logger.of(STATE_SYNC_EVENTS.sourceLost).length, 1);
    assert.ok((waitsMs[1] ?? Infinity) < (waitsMs[0] ?? 0));
  });

  // The store comes back, and the instance that was asked meanwhile has lost power: it never answers. Waiting for
  // it would keep a change from coming into force here long after all others have it.
  it('does not wait for an instance that does not answer', async () => {
    const put: PublishedChanges = {
      kind: 'changes',
      position: at(6),
      changes: [{ kind: 'put', revision: 10, item: routesItem(8) }],
    };
    const { source } = createSource([state(5, [routesItem(3)])], ['fails', put]);
    const { clock, table, sync } = setUp(source, () => new Promise(() => {}));
    sync.start();
    await clock.advanceByAsync(1_000);
    assert.equal(table.current()?.table.version, 8);
  });

  it('takes nothing from an instance that knows less', async () => {
    const { source } = createSource([state(5, [serverItem('s-1')])], ['fails']);
    const { clock, servers, sync } = setUp(source, async () => state(5, [serverItem('s-0')]));
    sync.start();
    await clock.advanceByAsync(2_000);
    assert.deepEqual(ids(servers.all()), ['s-1']);
  });

  it('hands out how cold servers are now, not when they said so', async () => {
    const { source } = createSource([state(5, [serverItem('s-1', { coldForMs: 3_000 })])], []);
    const { clock, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(2_000);
    const [item] = sync.snapshot().items;
    assert.equal(item?.kind === 'server' ? item.announcement.coldForMs : undefined, 1_000);
  });

  it('survives the way to another instance as text', () => {
    const service = {
      name: 'app',
      maxConnections: 3,
      coldStartMs: 1,
      coldRequestsPerSecond: 2,
      healthPath: '/health',
      copyMsPerToken: 0.004,
    };
    const table: PublishedItem = {
      kind: 'routes',
      table: {
        version: 4,
        services: new Map([['app', service]]),
        limits: { headerBytes: 1, bodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
        accounts: undefined,
        routes: [
          {
            name: 'r',
            host: 'a.example',
            pathPrefix: '/',
            kind: 'stream',
            isResumable: true,
            timeoutMs: 1,
            objectiveMs: 2,
            pauseObjectiveMs: 300,
            priority: 3,
            maxAttempts: 4,
            targets: [{ service: 'app', weight: 1 }],
            homeRegions: ['north'],
            isPublic: false,
          },
        ],
      },
    };
    const whole = state(7, [table, serverItem('s-1'), { kind: 'evacuation', failureDomain: 'x' }]);
    assert.deepEqual(readSnapshot(writeSnapshot(whole)), whole);
  });
});

describe('the registry of servers', () => {
  const registry = () =>
    createServerRegistry({ regionOf: () => 'north', coldStartMs: () => 3_000 });
  const announcement = (serverId: string, more: Partial<ServerAnnouncement> = {}) => {
    const item = serverItem(serverId, more);
    if (item.kind !== 'server') throw new Error('not a server');
    return item.announcement;
  };

  // Servers of an evacuated domain lose what they had in memory. The full load that returns at once would crash them.
  it('takes servers for cold when their domain is taken back', () => {
    const servers = registry();
    servers.put(announcement('s-1'), 0);
    servers.setEvacuated('north-a', true, 0);
    assert.deepEqual(servers.usable('app', 'north'), []);
    servers.setEvacuated('north-a', false, 10_000);
    assert.equal(servers.usable('app', 'north')[0]?.coldUntilMs, 13_000);
  });

  // A late message says "ready" of a server that has said "draining". New work would be cut when it goes.
  it('never takes a draining server back', () => {
    const servers = registry();
    servers.put(announcement('s-1', { isDraining: true }), 0);
    servers.put(announcement('s-1'), 1);
    assert.deepEqual(servers.usable('app', 'north'), []);
  });

  it('gives no work to a server that is about to be taken away', () => {
    const servers = registry();
    servers.put(announcement('s-1', { goneInMs: 2_000 }), 0);
    assert.deepEqual(servers.usable('app', 'north'), []);
  });
});
