import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRouteTableStore } from '../host-routes';
import { createServerRegistry } from '../server-registry';
import { createFakeClock, createMemoryLogger } from '../../testing';
import { routesItem, serverItem } from './testing/published-items';
import { STATE_SYNC_EVENTS, createStateSync } from '.';
import type {
  Position,
  PublishedChange,
  PublishedChanges,
  PublishedItem,
  PublishedState,
  StateSource,
} from '.';

type Answer<Value> = Value | 'fails';

/** Creates a source that returns the listed answers in order, and then never answers again. */
function createSource(
  reads: readonly Answer<PublishedState>[],
  watches: readonly Answer<PublishedChanges>[],
) {
  const remainingReads = [...reads];
  const remainingWatches = [...watches];
  const waitsMs: number[] = [];
  const next = async <Value>(remaining: Answer<Value>[]): Promise<Value> => {
    const answer = remaining.shift();
    if (answer === 'fails') throw new Error('no answer');
    if (answer !== undefined) return answer;
    return new Promise(() => {});
  };
  const source: StateSource = {
    readAll: () => next(remainingReads),
    watch(_revision, waitMs) {
      waitsMs.push(waitMs);
      return next(remainingWatches);
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

/** Creates a source that was unavailable while the entries of two servers expired, one of which reappears. */
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
  readPeerState: () => Promise<PublishedState | undefined> = async () => undefined,
  latestPeerVersion = 0,
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
    readPeerState,
    latestPeerVersion: () => latestPeerVersion,
  });
  return { clock, logger, table, servers, sync };
}

const ids = (known: readonly { readonly serverId: string }[]) =>
  known.map(({ serverId }) => serverId);

describe('the copy of published state', () => {
  it('holds the items read and the changes since', async () => {
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

  // The entry of a server is overwritten with invalid bytes, and the server later corrects it. The last change decides,
  // whatever came before it in the same answer.
  const damaged: PublishedChange = {
    kind: 'unreadable',
    revision: 7,
    item: { key: 'servers/s-1', serverId: 's-1', reason: 'no JSON' },
  };
  const announced: PublishedChange = { kind: 'put', revision: 7, item: serverItem('s-1') };
  const orders = [
    { name: 'a damaged entry after a good one', changes: [announced, damaged], left: [] },
    {
      name: 'a good entry after a damaged one',
      changes: [damaged, announced],
      left: ['s-1'],
    },
  ];
  for (const { name, changes: inOrder, left } of orders) {
    it(`applies ${name}`, async () => {
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

  // After an outage the entry of a running server may be missing for a moment, and the server stays in use. An entry
  // that exists but cannot be parsed is not such a gap.
  it('removes a server whose entry is unreadable in a read after an outage', async () => {
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

  // The source is unavailable for some seconds and all entries expire. The servers still run; if they were removed,
  // every request would be refused until they have announced themselves again.
  it('keeps servers whose entries expired in an outage until the grace period ends', async () => {
    const { source } = createSourceAfterOutage();
    const { clock, servers, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(1_000);
    assert.deepEqual(ids(servers.all()).sort(), ['back', 'gone']);
    await clock.advanceByAsync(3_000);
    assert.deepEqual(ids(servers.all()), ['back']);
  });

  // An instance starts right after an outage with the state of another one, which still holds servers whose removal is
  // deferred. It continues from a revision after the removal, never sees it, and would send to that server for good.
  it('sends peers no server whose removal is deferred', async () => {
    const { source } = createSourceAfterOutage();
    const { clock, servers, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(1_000);
    assert.deepEqual(ids(servers.all()).sort(), ['back', 'gone']);
    const sentServerIds = sync
      .snapshot()
      .items.flatMap((item) => (item.kind === 'server' ? [item.announcement.serverId] : []));
    assert.deepEqual(sentServerIds, ['back']);
  });

  // As above, with the history gone as well, so that the complete state is read again.
  it('continues to watch while it waits for servers to reappear', async () => {
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

  // The source refuses one instance and serves the others. If that instance missed an evacuation, it would send
  // requests to servers that operators are working on.
  it('calls another instance as soon as the source fails', async () => {
    const { source, waitsMs } = createSource([state(5, [serverItem('s-1')])], ['fails', 'fails']);
    const evacuation: PublishedItem = { kind: 'evacuation', failureDomain: 'north-a' };
    const { clock, servers, sync, logger } = setUp(source, async () =>
      state(7, [serverItem('s-1'), evacuation]),
    );
    sync.start();
    await clock.advanceByAsync(50);
    assert.deepEqual(servers.evacuatedDomains(), ['north-a']);
    await clock.advanceByAsync(2_000);
    assert.equal(logger.of(STATE_SYNC_EVENTS.sourceLost).length, 1);
    assert.ok((waitsMs[1] ?? Infinity) < (waitsMs[0] ?? 0));
  });

  // The source returns, and the peer that was called meanwhile has lost power and never answers. Waiting for it would
  // delay a change here long after all other instances have it in force.
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

  it('copies nothing from an instance whose state is not later', async () => {
    const { source } = createSource([state(5, [serverItem('s-1')])], ['fails']);
    const { clock, servers, sync } = setUp(source, async () => state(5, [serverItem('s-0')]));
    sync.start();
    await clock.advanceByAsync(2_000);
    assert.deepEqual(ids(servers.all()), ['s-1']);
  });

  it('reports the current cold time of servers, not the announced one', async () => {
    const { source } = createSource([state(5, [serverItem('s-1', { coldForMs: 3_000 })])], []);
    const { clock, sync } = setUp(source);
    sync.start();
    await clock.advanceByAsync(2_000);
    const [item] = sync.snapshot().items;
    assert.equal(item?.kind === 'server' ? item.announcement.coldForMs : undefined, 1_000);
  });
});
