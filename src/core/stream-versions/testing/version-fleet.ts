import assert from 'node:assert/strict';
import type { RouteTable } from '../../host-routes';
import { createFakeClock, createMemoryLogger } from '../../../testing';
import { createStreamVersions } from '../create-stream-versions';
import type { StreamVersions } from '../create-stream-versions';
import type { FoundVersion, StreamIdentity, VersionHolder } from '../types';

/** Instances of a test that tell one another of the versions of streams. */

export const SERVICE = 'chat';
export const OTHER_SERVICE = 'other-chat';
export const STREAM: StreamIdentity = { route: 'chat', account: 'a', requestId: 'r-1' };
const DEADLINE_MS = 15_000;
/** Deadline of a stream that takes minutes, ms. */
export const LONG_DEADLINE_MS = 300_000;
/** Network delays of the tests, ms: within a region and between two. */
export const NEAR_MS = 1;
const FAR_MS = 55;

export function holder(
  instanceId: string,
  region: string,
  failureDomain = `${region}-a`,
): VersionHolder {
  return { instanceId, region, failureDomain, address: instanceId };
}

/** Returns a table in which the route of the streams leads to services. */
function tableOf(version: number, services: readonly string[]): RouteTable {
  const targets = services.map((service) => ({ service, weight: 1 }));
  const route = { name: STREAM.route, kind: 'stream', isResumable: true, targets };
  return { version, routes: [route] } as unknown as RouteTable;
}

/** Instances that exchange their messages over links of a fake clock. */
export function createFleet(members: readonly VersionHolder[], initialVersions: readonly string[]) {
  const clock = createFakeClock();
  const logger = createMemoryLogger();
  const instances = new Map<string, StreamVersions>();
  const cutIds = new Set<string>();
  /** Instances that lost the published state and know only the versions of before. */
  const staleVersions = new Map<string, readonly string[]>();
  /** Instances that lost the published state, with the number of changes that they know. */
  const staleChanges = new Map<string, number>();
  let table = tableOf(1, [SERVICE]);
  const startedAtUnixMs = new Map<string, number>();
  let isPastProven = true;
  let versions = initialVersions;
  let changes = 0;
  let messages = 0;
  const deliver = (from: VersionHolder, address: string, text: string): void => {
    const to = members.find((member) => member.address === address);
    messages += 1;
    if (to === undefined || cutIds.has(from.instanceId) || cutIds.has(address)) return;
    const delayMs = to.region === from.region ? NEAR_MS : FAR_MS;
    clock.schedule(clock.monotonicMs() + delayMs, () => instances.get(address)?.receive(text));
  };
  const start = (self: VersionHolder): void => {
    const { instanceId } = self;
    const at = (revision: number) => ({ era: 1, revision });
    const startedAtMs = clock.monotonicMs();
    const allKnownSinceMs = isPastProven ? -Infinity : startedAtMs;
    const knownFrom = at(changes);
    staleVersions.delete(instanceId);
    startedAtUnixMs.set(instanceId, clock.unixMs());
    const created = createStreamVersions({
      clock,
      logger,
      self: () => self,
      peers: () =>
        members
          .filter((member) => member !== self)
          .map((member) => ({
            ...member,
            startedAtUnixMs: startedAtUnixMs.get(member.instanceId),
          })),
      servers: {
        all: () =>
          [SERVICE, OTHER_SERVICE].flatMap((service) =>
            (staleVersions.get(self.instanceId) ?? versions).map((softwareVersion) => ({
              service,
              softwareVersion,
            })),
          ),
        announcedVersions: () => [],
        changes: () => changes,
      },
      routes: { current: () => ({ table }) as never },
      followedChanges: () => ({
        allKnownSinceMs,
        knownFrom,
        knownUpTo: at(
          staleVersions.has(instanceId) ? (staleChanges.get(instanceId) ?? 0) : changes,
        ),
        isCurrent: !staleVersions.has(instanceId),
        isPastPending: false,
      }),
      send: (address, text) => deliver(self, address, text),
    });
    instances.set(self.instanceId, created);
    created.runDue();
  };
  for (const { instanceId } of members) startedAtUnixMs.set(instanceId, clock.unixMs());
  members.forEach(start);
  // What a process that starts later sees of published state does not prove what was before.
  isPastProven = false;
  const at = (instanceId: string): StreamVersions => {
    const instance = instances.get(instanceId);
    assert.ok(instance !== undefined);
    return instance;
  };
  const runFor = (durationMs: number): void => {
    const endMs = clock.monotonicMs() + durationMs;
    while (clock.monotonicMs() < endMs) {
      clock.advanceBy(Math.min(10, endMs - clock.monotonicMs()));
      for (const instance of instances.values()) instance.runDue();
    }
  };
  return {
    clock,
    runFor,
    messages: () => messages,
    begin(
      instanceId: string,
      identity = STREAM,
      softwareVersion = 'v1',
      deadlineAtMs = clock.monotonicMs() + DEADLINE_MS,
    ) {
      at(instanceId).recordBegun({ identity, service: SERVICE, softwareVersion, deadlineAtMs });
    },
    /** Returns what is found, and how long that took, ms. */
    find(instanceId: string, identity: StreamIdentity | 'unnamed' = STREAM) {
      const startedAtMs = clock.monotonicMs();
      let result: { found: FoundVersion; tookMs: number } | undefined;
      const [service = SERVICE] = table.routes[0]?.targets.map((target) => target.service) ?? [];
      const requested = { route: STREAM.route, service };
      at(instanceId).find(identity === 'unnamed' ? undefined : identity, requested, (found) => {
        result = { found, tookMs: clock.monotonicMs() - startedAtMs };
      });
      runFor(1_000);
      assert.ok(result !== undefined);
      return result;
    },
    /** Ends an instance; it is replaced by one that knows nothing, as after a restart. */
    restart(instanceId: string) {
      const self = members.find((member) => member.instanceId === instanceId);
      if (self !== undefined) start(self);
    },
    cut: (instanceId: string) => cutIds.add(instanceId),
    /** Has an instance lose the published state. */
    loseState(instanceId: string) {
      staleVersions.set(instanceId, versions);
      staleChanges.set(instanceId, changes);
    },
    /** Has the route of the streams lead to services, the first of which the next requests would get. */
    setTargets(services: readonly string[]) {
      table = tableOf(table.version + 1, services);
      for (const instance of instances.values()) instance.recordRoutes(table);
    },
    /** Has the published state prove to instances that start from now on which versions have served. */
    provePast() {
      isPastProven = true;
    },
    setVersions(next: readonly string[]) {
      versions = next;
      changes += 1;
    },
  };
}

export const MEMBERS = [
  holder('n-1', 'north', 'north-a'),
  holder('n-2', 'north', 'north-b'),
  holder('n-3', 'north', 'north-b'),
  holder('s-1', 'south'),
  holder('s-2', 'south'),
  holder('e-1', 'east'),
];
export const IDS = MEMBERS.map(({ instanceId }) => instanceId);

export function versionOf(found: FoundVersion): string {
  return found.kind === 'known' ? found.softwareVersion : found.kind;
}
