import type { CallAnswer, CallHandlers, CallClient } from '../core/calls';
import { sleepUntil } from '../core/clock';
import { createRouteTableStore } from '../core/host-routes';
import type { RouteTable } from '../core/host-routes';
import { createServerRegistry } from '../core/server-registry';
import { createWatchHandlers, createRelayedSource, createWatcherClient } from '../core/state-relay';
import type { RelayInstance, RelayedSource } from '../core/state-relay';
import { createStateSync, serializeSnapshot } from '../core/state-sync';
import type { PublishedChange, StateSource } from '../core/state-sync';
import { createFakeClock } from './fake-clock';
import type { FakeClock } from './fake-clock';
import { createMemoryLogger } from './memory-logger';

/**
 * A fleet in which instances follow one another, before a source that counts its calls. Time is a fake clock's, calls
 * take a fixed time, and each instance can be cut off in every way that matters.
 */

/** What goes wrong at an instance. */
export interface RelayFaults {
  /** Nothing that it is asked is answered, and it hears no answers: it stands still, or its machine has no power. */
  readonly isSilent: boolean;
  /** Its calls leave and are worked on, and the answers do not come back. */
  readonly hearsNobody: boolean;
  /** The source does not answer it. */
  readonly isCutFromSource: boolean;
  /** Its calls take this much longer, ms. */
  readonly isSlowByMs: number;
}

/** An instance without faults. */
export const NO_FAULTS: RelayFaults = {
  isSilent: false,
  hearsNobody: false,
  isCutFromSource: false,
  isSlowByMs: 0,
};

/** One instance. */
export interface RelayFleetInstance extends RelayInstance {
  readonly faults: RelayFaults;
  /** Brings faults about, or ends them; those that are not named stay as they are. */
  setFaults(faults: Partial<RelayFaults>): void;
  readonly relayed: RelayedSource;
  /** Version of the routes in force there; 0 for none. */
  version(): number;
  /** Highest version that was in force there before a lower one came; undefined where that never was. */
  wentBackFrom(): number | undefined;
}

/** The fleet and its source. */
export interface RelayFleet extends AsyncDisposable {
  readonly clock: FakeClock;
  readonly instances: readonly RelayFleetInstance[];
  /** Calls that the source has had. */
  readonly sourceCalls: () => number;
  /** Publishes the next version of the routes, and returns it. */
  publish(): number;
  /** The source drops its history. */
  forgetHistory(): void;
  /** The source comes back from a copy that lacks the latest changes; their revisions are given out again. */
  restore(changesLost: number): void;
  /** Whether the source answers anybody. */
  setSourceUp(isUp: boolean): void;
  /** Instances that are held to be dead by all others. */
  setDead(ids: readonly string[]): void;
  /** Moves the time on. */
  run(ms: number): Promise<void>;
}

/** How large the fleet is. */
export interface RelayFleetOptions {
  readonly domains: number;
  readonly instancesPerDomain: number;
}

const ONE_WAY_MS = 1;
const SOURCE_GRACE_MS = 700;

function routes(version: number): RouteTable {
  return {
    version,
    routes: [],
    services: new Map(),
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    accounts: undefined,
  };
}

function createFakeSource(clock: FakeClock) {
  let era = 1;
  let revision = 1;
  let version = 0;
  let forgottenUpTo = 0;
  let isUp = true;
  let calls = 0;
  const history: PublishedChange[] = [];
  const waiting = new Set<() => void>();

  const newer = (after: number) => history.filter((change) => change.revision > after);

  const waitForNews = (after: number, untilMs: number): Promise<void> =>
    new Promise((resolve) => {
      if (newer(after).length > 0) {
        resolve();
        return;
      }
      const end = () => {
        waiting.delete(end);
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
        timer[Symbol.dispose]();
        resolve();
      };
      const timer = clock.schedule(untilMs, end);
      waiting.add(end);
    });

  const sourceFor = (faults: RelayFaults): StateSource => {
    const reach = async (waitMs: number) => {
      calls += 1;
      if (faults.isCutFromSource || faults.isSilent || faults.hearsNobody) {
        await sleepUntil(clock, clock.monotonicMs() + waitMs + SOURCE_GRACE_MS);
        throw new Error('no answer');
      }
      await sleepUntil(clock, clock.monotonicMs() + ONE_WAY_MS + faults.isSlowByMs);
      if (!isUp) throw new Error('status 503');
    };
    return {
      async readAll() {
        await reach(0);
        const latest = history.at(-1);
        return {
          position: { era, revision },
          items: latest?.kind === 'put' ? [latest.item] : [],
          unreadable: [],
        };
      },
      async watch(after, waitMs) {
        await reach(waitMs);
        const isOfThisEra = () => after.era === era;
        if (!isOfThisEra() || after.revision < forgottenUpTo) return { kind: 'historyGone' };
        const untilMs = clock.monotonicMs() + waitMs;
        await waitForNews(after.revision, untilMs);
        const isLost = !isUp || faults.isCutFromSource || faults.isSilent || faults.hearsNobody;
        if (isLost) {
          await sleepUntil(clock, untilMs + SOURCE_GRACE_MS);
          throw new Error('no answer');
        }
        if (!isOfThisEra()) return { kind: 'historyGone' };
        return { kind: 'changes', position: { era, revision }, changes: newer(after.revision) };
      },
    };
  };

  return {
    sourceFor,
    calls: () => calls,
    publish(): number {
      revision += 1;
      version += 1;
      history.push({ kind: 'put', revision, item: { kind: 'routes', table: routes(version) } });
      for (const wake of [...waiting]) wake();
      return version;
    },
    forgetHistory() {
      forgottenUpTo = revision;
    },
    restore(changesLost: number) {
      era += 1;
      revision -= changesLost;
      history.splice(history.length - changesLost);
      for (const wake of [...waiting]) wake();
    },
    setUp(next: boolean) {
      isUp = next;
    },
  };
}

/** Starts a fleet whose instances all know one another. */
export function startRelayFleet(options: RelayFleetOptions): RelayFleet {
  const clock = createFakeClock();
  const source = createFakeSource(clock);
  const listeners = new Map<string, { handlers: CallHandlers; faults: RelayFaults }>();
  const owned: AsyncDisposable[] = [];
  let dead = new Set<string>();
  let draws = 0;
  /** Even draws in place of chance: each run is the same. */
  const random = {
    next: () => {
      draws += 1;
      return (draws * 0.381_966) % 1;
    },
  };

  const answer = async (address: string, path: string): Promise<CallAnswer> => {
    const listener = listeners.get(address);
    const [name = '', query] = path.split('?');
    const handler = listener?.handlers.get(name);
    if (handler === undefined) throw new Error(`nothing answers ${path}`);
    return handler({ query: new URLSearchParams(query), text: '', onDisconnected() {} });
  };

  const callClientOf = (own: RelayFaults): CallClient => ({
    async call(address, { path, answerByMs }) {
      const nobody = async (): Promise<never> => {
        await sleepUntil(clock, answerByMs);
        throw new Error('no answer in time');
      };
      const other = () => listeners.get(address)?.faults;
      await sleepUntil(clock, clock.monotonicMs() + ONE_WAY_MS + own.isSlowByMs);
      if (own.isSilent || other()?.isSilent !== false) return nobody();
      const answered = await answer(address, path);
      await sleepUntil(clock, clock.monotonicMs() + ONE_WAY_MS + (other()?.isSlowByMs ?? 0));
      const isLost = own.isSilent || own.hearsNobody || other()?.isSilent !== false;
      if (isLost || clock.monotonicMs() > answerByMs) return nobody();
      return answered;
    },
  });

  const members: RelayInstance[] = Array.from({ length: options.domains }, (_, domain) =>
    Array.from({ length: options.instancesPerDomain }, (__, index) => ({
      instanceId: `d${domain}-${index}`,
      failureDomain: `d${domain}`,
      address: `d${domain}-${index}:1`,
    })),
  ).flat();

  const start = (member: RelayInstance): RelayFleetInstance => {
    const faults = { ...NO_FAULTS };
    const table = createRouteTableStore();
    let highest = 0;
    let wentBackFrom: number | undefined;
    const relayed = createRelayedSource({
      clock,
      logger: createMemoryLogger(),
      source: source.sourceFor(faults),
      watchers: createWatcherClient(clock, callClientOf(faults)),
      self: member,
      others: () =>
        members.filter(
          ({ instanceId }) => instanceId !== member.instanceId && !dead.has(instanceId),
        ),
    });
    const version = () => table.current()?.table.version ?? 0;
    const sync = createStateSync({
      clock,
      random,
      logger: createMemoryLogger(),
      source: relayed,
      routes: table,
      servers: createServerRegistry({ regionOf: () => 'north', coldStartMs: () => 0 }),
      onRoutesChanged() {
        if (version() < highest) wentBackFrom = highest;
        highest = Math.max(highest, version());
      },
      readPeerState: async () => undefined,
      latestPeerVersion: () => 0,
    });
    const handlers = createWatchHandlers({
      clock,
      feed: relayed.feed,
      freshUntilMs: relayed.freshUntilMs,
      serializeState: () => serializeSnapshot(sync.snapshot()),
    });
    listeners.set(member.address, { handlers, faults });
    owned.push(sync);
    sync.start();
    return {
      ...member,
      faults,
      setFaults: (changed) => Object.assign(faults, changed),
      relayed,
      version,
      wentBackFrom: () => wentBackFrom,
    };
  };

  const instances = members.map(start);
  return {
    clock,
    instances,
    sourceCalls: source.calls,
    publish: source.publish,
    forgetHistory: source.forgetHistory,
    restore: source.restore,
    setSourceUp: source.setUp,
    setDead(ids) {
      dead = new Set(ids);
    },
    run: (ms) => clock.advanceByAsync(ms),
    async [Symbol.asyncDispose]() {
      const ending = Promise.all(owned.map((sync) => sync[Symbol.asyncDispose]()));
      await clock.advanceByAsync(10_000);
      await ending;
    },
  };
}
