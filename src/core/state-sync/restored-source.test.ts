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

/** Positions before and after the source is restored: the revision is lower afterwards. */
const BEFORE_RESTORE: Position = { era: 1, revision: 50 };
const AFTER_RESTORE: Position = { era: 2, revision: 20 };
/** Slightly more than the grace period in which servers reappear. */
const GRACE_PASSED_MS = 2_600;

const EVACUATION: PublishedItem = { kind: 'evacuation', failureDomain: 'south-a' };

const state = (position: Position, items: readonly PublishedItem[]): PublishedState => ({
  position,
  items,
  unreadable: [],
});

const put = (item: PublishedItem): PublishedChange => ({ kind: 'put', revision: 21, item });

interface Scenario {
  /** The published items at first, and the changes to them before the source goes away. */
  readonly before: readonly PublishedItem[];
  readonly changed?: readonly PublishedChange[];
  /** The items in the restored backup. */
  readonly restored: readonly PublishedItem[];
  /** Changes written after the restore, each with its time after it, ms. */
  readonly writes?: readonly { readonly afterMs: number; readonly change: PublishedChange }[];
  readonly latestPeerVersion?: number;
  readonly peerState?: PublishedState;
}

/** Starts a copy of published state whose source is restored from an older backup. */
function startScenario(scenario: Scenario) {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const table = createRouteTableStore();
  const servers = createServerRegistry({
    regionOf: (domain) => domain.split('-')[0],
    coldStartMs: () => 3_000,
  });
  const reads = [state(BEFORE_RESTORE, scenario.before), state(AFTER_RESTORE, scenario.restored)];
  const watches: PublishedChanges[] = [
    { kind: 'changes', position: BEFORE_RESTORE, changes: scenario.changed ?? [] },
    { kind: 'historyGone' },
  ];
  const remainingWrites = [...(scenario.writes ?? [])];
  let restoredAtMs = Infinity;
  const source: StateSource = {
    async readAll() {
      const next = reads.shift();
      if (next === undefined) throw new Error('unexpected extra read');
      if (next.position === AFTER_RESTORE) restoredAtMs = clock.monotonicMs();
      return next;
    },
    async watch(position, waitMs) {
      const next = watches.shift();
      if (next !== undefined) return next;
      const atMs = clock.monotonicMs() + waitMs;
      const [first] = remainingWrites;
      const changeAtMs = first === undefined ? Infinity : restoredAtMs + first.afterMs;
      await new Promise<void>((resolve) => {
        clock.schedule(Math.min(atMs, changeAtMs), resolve);
      });
      const hasChange = changeAtMs <= atMs;
      if (hasChange) remainingWrites.shift();
      const changes = hasChange && first !== undefined ? [first.change] : [];
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
    readPeerState: async () => scenario.peerState,
    latestPeerVersion: () => scenario.latestPeerVersion ?? 0,
  });
  sync.start();
  return {
    logger,
    run: (ms: number) => clock.advanceByAsync(ms),
    version: () => table.current()?.table.version,
    headerTimeoutMs: () => table.current()?.table.limits.headerTimeoutMs,
    serverIds: () => servers.all().map(({ serverId }) => serverId),
    usable: () => servers.usable('app', 'north').map(({ serverId }) => serverId),
    evacuated: () => servers.evacuatedDomains(),
  };
}

/** Guards against routes that go back, or stay outdated for good, when the source is restored from an older backup. */
describe('routes, when the source is restored from an older backup', () => {
  it('stay in force, and the older version is logged', async () => {
    const harness = startScenario({ before: [routesItem(5)], restored: [routesItem(4)] });
    await harness.run(100);
    assert.equal(harness.version(), 5);
    assert.equal(harness.logger.of(STATE_SYNC_EVENTS.olderRoutesIgnored).length, 1);
    const [restored] = harness.logger.of(STATE_SYNC_EVENTS.sourceRestored);
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
    {
      name: 'the same version with the same contents',
      item: routesItem(5),
      version: 5,
      timeoutMs: 1_000,
    },
  ];
  for (const { name, item, version, timeoutMs } of writtenAgain) {
    it(`change to ${name} once it is written`, async () => {
      const writes = [{ afterMs: 300, change: put(item) }];
      const harness = startScenario({
        before: [routesItem(5)],
        restored: [routesItem(4)],
        writes,
      });
      await harness.run(500);
      assert.equal(harness.version(), version);
      assert.equal(harness.headerTimeoutMs(), timeoutMs);
    });
  }

  it('are copied from another instance if this one started with the backup', async () => {
    const peerState = state(BEFORE_RESTORE, [routesItem(5)]);
    const harness = startScenario({
      before: [routesItem(4)],
      restored: [routesItem(4)],
      latestPeerVersion: 5,
      peerState,
    });
    await harness.run(1_000);
    assert.equal(harness.version(), 4);
    await harness.run(3_000);
    assert.equal(harness.version(), 5);
  });
});

/** Guards against refusals because running servers are missing in the backup, and against requests to stopped ones. */
describe('servers, when the source is restored from an older backup', () => {
  const gone: PublishedChange = { kind: 'serverGone', revision: 50, serverId: 's-1' };
  const cases: readonly {
    readonly name: string;
    readonly scenario: Scenario;
    readonly atOnce: readonly string[];
    readonly later: readonly string[];
  }[] = [
    {
      name: 'missing in the backup are used until the grace period ends',
      scenario: { before: [serverItem('s-1'), serverItem('s-2')], restored: [serverItem('s-2')] },
      atOnce: ['s-1', 's-2'],
      later: ['s-2'],
    },
    {
      name: 'missing in the backup that reappear are used throughout',
      scenario: {
        before: [serverItem('s-1')],
        restored: [],
        writes: [{ afterMs: 1_500, change: put(serverItem('s-1')) }],
      },
      atOnce: ['s-1'],
      later: ['s-1'],
    },
    {
      name: 'that were removed are not used again because the backup lists them',
      scenario: {
        before: [serverItem('s-1'), serverItem('s-2')],
        changed: [gone],
        restored: [serverItem('s-1'), serverItem('s-2')],
        writes: [{ afterMs: 3_000, change: gone }],
      },
      atOnce: ['s-2'],
      later: ['s-2'],
    },
    {
      name: 'that were removed are used as soon as they announce themselves',
      scenario: {
        before: [serverItem('s-1')],
        changed: [gone],
        restored: [serverItem('s-1')],
        writes: [{ afterMs: 50, change: put(serverItem('s-1')) }],
      },
      atOnce: ['s-1'],
      later: ['s-1'],
    },
    {
      name: 'that were removed are used if still listed after entries of stopped servers expired',
      scenario: { before: [serverItem('s-1')], changed: [gone], restored: [serverItem('s-1')] },
      atOnce: [],
      later: ['s-1'],
    },
    {
      name: 'that were draining get no new work although the backup lists them as ready',
      scenario: {
        before: [serverItem('s-1', { isDraining: true })],
        restored: [serverItem('s-1')],
      },
      atOnce: [],
      later: [],
    },
    {
      name: 'of an earlier start do not replace the running one',
      scenario: {
        before: [serverItem('s-1', { startedAtUnixMs: 2_000, address: '10.0.0.2:80' })],
        restored: [serverItem('s-1', { startedAtUnixMs: 1_000 })],
      },
      atOnce: ['s-1'],
      later: ['s-1'],
    },
  ];
  for (const { name, scenario, atOnce, later } of cases) {
    it(name, async () => {
      const harness = startScenario(scenario);
      await harness.run(200);
      assert.deepEqual(harness.usable().sort(), atOnce);
      await harness.run(2 * GRACE_PASSED_MS);
      assert.deepEqual(harness.usable().sort(), later);
    });
  }
});

/** Guards against requests to a failure domain that operators work on, and against an evacuation that never ends. */
describe('an evacuation, when the source is restored from an older backup', () => {
  const ended: PublishedChange = {
    kind: 'evacuationEnded',
    revision: 50,
    failureDomain: 'south-a',
  };
  const cases: readonly {
    readonly name: string;
    readonly scenario: Scenario;
    readonly isAtOnce: boolean;
    readonly isLater: boolean;
  }[] = [
    {
      name: 'missing in the backup holds until the grace period for publishing it again ends',
      scenario: { before: [EVACUATION], restored: [] },
      isAtOnce: true,
      isLater: false,
    },
    {
      name: 'that is published again continues to hold',
      scenario: {
        before: [EVACUATION],
        restored: [],
        writes: [{ afterMs: 1_000, change: put(EVACUATION) }],
      },
      isAtOnce: true,
      isLater: true,
    },
    {
      name: 'that is ended after the restore ends at once',
      scenario: { before: [EVACUATION], restored: [], writes: [{ afterMs: 50, change: ended }] },
      isAtOnce: false,
      isLater: false,
    },
    {
      name: 'that had ended holds as long as the restored source lists it',
      scenario: { before: [EVACUATION], changed: [ended], restored: [EVACUATION] },
      isAtOnce: true,
      isLater: true,
    },
  ];
  for (const { name, scenario, isAtOnce, isLater } of cases) {
    it(name, async () => {
      const harness = startScenario(scenario);
      await harness.run(200);
      assert.equal(harness.evacuated().length > 0, isAtOnce);
      await harness.run(2 * GRACE_PASSED_MS);
      assert.equal(harness.evacuated().length > 0, isLater);
    });
  }
});
