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

/** Positions before and after the return: the revision is lower after it. */
const BEFORE: Position = { era: 1, revision: 50 };
const AFTER: Position = { era: 2, revision: 20 };
/** A little more than the time in which servers are back. */
const SURE_MS = 2_600;

const EVACUATION: PublishedItem = { kind: 'evacuation', failureDomain: 'south-a' };

const state = (position: Position, items: readonly PublishedItem[]): PublishedState => ({
  position,
  items,
  unreadable: [],
});

const put = (item: PublishedItem): PublishedChange => ({ kind: 'put', revision: 21, item });

interface Story {
  /** What is published before, and what of it has changed when the source goes away. */
  readonly before: readonly PublishedItem[];
  readonly changed?: readonly PublishedChange[];
  /** What the copy holds. */
  readonly copy: readonly PublishedItem[];
  /** What is written after the return, each with the time after it, ms. */
  readonly written?: readonly { readonly afterMs: number; readonly change: PublishedChange }[];
  readonly latestElsewhere?: number;
  readonly elsewhere?: PublishedState;
}

/** A copy of what is published that lives through a return of its source. */
function play(story: Story) {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const table = createRouteTableStore();
  const servers = createServerRegistry({
    regionOf: (domain) => domain.split('-')[0],
    coldStartMs: () => 3_000,
  });
  const reads = [state(BEFORE, story.before), state(AFTER, story.copy)];
  const watches: PublishedChanges[] = [
    { kind: 'changes', position: BEFORE, changes: story.changed ?? [] },
    { kind: 'historyGone' },
  ];
  const written = [...(story.written ?? [])];
  let returnedAtMs = Infinity;
  const source: StateSource = {
    async readAll() {
      const next = reads.shift();
      if (next === undefined) throw new Error('read once too often');
      if (next.position === AFTER) returnedAtMs = clock.monotonicMs();
      return next;
    },
    async watch(position, waitMs) {
      const next = watches.shift();
      if (next !== undefined) return next;
      const atMs = clock.monotonicMs() + waitMs;
      const [first] = written;
      const newsAtMs = first === undefined ? Infinity : returnedAtMs + first.afterMs;
      await new Promise<void>((resolve) => {
        clock.schedule(Math.min(atMs, newsAtMs), resolve);
      });
      const hasNews = newsAtMs <= atMs;
      if (hasNews) written.shift();
      const changes = hasNews && first !== undefined ? [first.change] : [];
      return { kind: 'changes', position, changes };
    },
  };
  const sync = createStateSync({
    clock,
    logger,
    source,
    servers,
    routes: table,
    random: { next: () => 0 },
    askPeer: async () => story.elsewhere,
    latestElsewhere: () => story.latestElsewhere ?? 0,
  });
  sync.start();
  return {
    logger,
    run: (ms: number) => clock.advanceByAsync(ms),
    version: () => table.current()?.table.version,
    headerTimeoutMs: () => table.current()?.table.limits.headerTimeoutMs,
    serverIds: () => servers.all().map(({ serverId }) => serverId),
    usable: () => servers.usable('app', 'north').map(({ serverId }) => serverId),
    evacuated: () => servers.evacuated(),
  };
}

/** Guards against routes that go back, or stay behind for good, when the source comes back from an older copy. */
describe('routes, when the source comes back from an older copy', () => {
  it('stay as they are in force, and the older version is logged', async () => {
    const played = play({ before: [routesItem(5)], copy: [routesItem(4)] });
    await played.run(100);
    assert.equal(played.version(), 5);
    assert.equal(played.logger.of(STATE_SYNC_EVENTS.olderRoutesPassedOver).length, 1);
    const [restored] = played.logger.of(STATE_SYNC_EVENTS.sourceRestored);
    assert.deepEqual(
      [restored?.fields.eraBefore, restored?.fields.era, restored?.fields.revision],
      [1, 2, 20],
    );
  });

  const writtenAgain = [
    { name: 'the next version', item: routesItem(6, 7), version: 6, timeoutMs: 7 },
    {
      name: 'the same version with other contents',
      item: routesItem(5, 8),
      version: 5,
      timeoutMs: 8,
    },
    { name: 'the same version as it was', item: routesItem(5), version: 5, timeoutMs: 1_000 },
  ];
  for (const { name, item, version, timeoutMs } of writtenAgain) {
    it(`are those of ${name} once it is written`, async () => {
      const written = [{ afterMs: 300, change: put(item) }];
      const played = play({ before: [routesItem(5)], copy: [routesItem(4)], written });
      await played.run(500);
      assert.equal(played.version(), version);
      assert.equal(played.headerTimeoutMs(), timeoutMs);
    });
  }

  it('are taken from another instance where one has started with the copy', async () => {
    const elsewhere = state(BEFORE, [routesItem(5)]);
    const played = play({
      before: [routesItem(4)],
      copy: [routesItem(4)],
      latestElsewhere: 5,
      elsewhere,
    });
    await played.run(1_000);
    assert.equal(played.version(), 4);
    await played.run(3_000);
    assert.equal(played.version(), 5);
  });
});

/** Guards against refusals for servers that live and are not in the copy, and against tries at dead ones that are. */
describe('servers, when the source comes back from an older copy', () => {
  const gone: PublishedChange = { kind: 'serverGone', revision: 50, serverId: 's-1' };
  const cases: readonly {
    readonly name: string;
    readonly story: Story;
    readonly atOnce: readonly string[];
    readonly later: readonly string[];
  }[] = [
    {
      name: 'that the copy lacks are used until they had time to come back',
      story: { before: [serverItem('s-1'), serverItem('s-2')], copy: [serverItem('s-2')] },
      atOnce: ['s-1', 's-2'],
      later: ['s-2'],
    },
    {
      name: 'that the copy lacks and that come back are used throughout',
      story: {
        before: [serverItem('s-1')],
        copy: [],
        written: [{ afterMs: 1_500, change: put(serverItem('s-1')) }],
      },
      atOnce: ['s-1'],
      later: ['s-1'],
    },
    {
      name: 'that have gone are not used again because the copy lists them',
      story: {
        before: [serverItem('s-1'), serverItem('s-2')],
        changed: [gone],
        copy: [serverItem('s-1'), serverItem('s-2')],
        written: [{ afterMs: 3_000, change: gone }],
      },
      atOnce: ['s-2'],
      later: ['s-2'],
    },
    {
      name: 'that had gone are used as soon as they announce themselves',
      story: {
        before: [serverItem('s-1')],
        changed: [gone],
        copy: [serverItem('s-1')],
        written: [{ afterMs: 50, change: put(serverItem('s-1')) }],
      },
      atOnce: ['s-1'],
      later: ['s-1'],
    },
    {
      name: 'that had gone are used when they are still listed after dead ones have lapsed',
      story: { before: [serverItem('s-1')], changed: [gone], copy: [serverItem('s-1')] },
      atOnce: [],
      later: ['s-1'],
    },
    {
      name: 'that were draining get no new work because the copy calls them ready',
      story: { before: [serverItem('s-1', { isDraining: true })], copy: [serverItem('s-1')] },
      atOnce: [],
      later: [],
    },
    {
      name: 'of an earlier start do not take the place of the one that runs',
      story: {
        before: [serverItem('s-1', { startedAtUnixMs: 2_000, address: '10.0.0.2:80' })],
        copy: [serverItem('s-1', { startedAtUnixMs: 1_000 })],
      },
      atOnce: ['s-1'],
      later: ['s-1'],
    },
  ];
  for (const { name, story, atOnce, later } of cases) {
    it(name, async () => {
      const played = play(story);
      await played.run(200);
      assert.deepEqual(played.usable().sort(), atOnce);
      await played.run(2 * SURE_MS);
      assert.deepEqual(played.usable().sort(), later);
    });
  }
});

/** Guards against requests in a failure domain where operators are at work, and against one that stays closed. */
describe('an evacuation, when the source comes back from an older copy', () => {
  const ended: PublishedChange = {
    kind: 'evacuationEnded',
    revision: 50,
    failureDomain: 'south-a',
  };
  const cases: readonly {
    readonly name: string;
    readonly story: Story;
    readonly isAtOnce: boolean;
    readonly isLater: boolean;
  }[] = [
    {
      name: 'that the copy lacks holds until there was time to publish it again',
      story: { before: [EVACUATION], copy: [] },
      isAtOnce: true,
      isLater: false,
    },
    {
      name: 'that is published again holds on',
      story: {
        before: [EVACUATION],
        copy: [],
        written: [{ afterMs: 1_000, change: put(EVACUATION) }],
      },
      isAtOnce: true,
      isLater: true,
    },
    {
      name: 'that is ended after the return ends at once',
      story: { before: [EVACUATION], copy: [], written: [{ afterMs: 50, change: ended }] },
      isAtOnce: false,
      isLater: false,
    },
    {
      name: 'that had ended holds while the copy does',
      story: { before: [EVACUATION], changed: [ended], copy: [EVACUATION] },
      isAtOnce: true,
      isLater: true,
    },
  ];
  for (const { name, story, isAtOnce, isLater } of cases) {
    it(name, async () => {
      const played = play(story);
      await played.run(200);
      assert.equal(played.evacuated().length > 0, isAtOnce);
      await played.run(2 * SURE_MS);
      assert.equal(played.evacuated().length > 0, isLater);
    });
  }
});
