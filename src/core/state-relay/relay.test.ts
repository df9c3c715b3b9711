import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NO_FAULTS, startRelayFleet } from '../../testing/relay-fleet';
import type { RelayFaults, RelayFleet, RelayFleetInstance } from '../../testing/relay-fleet';

/**
 * Maximum time until a change is in force at every instance that could read the source, ms: the shortest time that
 * operators allow for taking a server out of use.
 */
const IN_FORCE_MS = 3_000;
/** Time until a change is in force if a failed watcher is skipped, ms: less than one wait for its answer. */
const SKIP_WITHIN_MS = 800;
/** Time until the choice of watchers in a fleet is stable, ms. */
const SETTLED_MS = 8_000;

/** Offsets within a watch at which a fault is injected, ms after the fleet is stable. */
const FAULT_OFFSETS_MS = [0, 150, 400, 650, 900, 1_150];

/**
 * Maximum calls to the source within two seconds of its restore, for a fleet in two domains; per watcher: the
 * interrupted watch, a read, and some watches.
 */
const MAX_CALLS_AFTER_RESTORE = 16;

const currentWatchers = (fleet: RelayFleet) =>
  fleet.instances.filter(({ relayed }) => relayed.isWatching());

const isHealthy = ({ faults }: RelayFleetInstance) =>
  !faults.isSilent && !faults.hearsNobody && !faults.isCutFromSource;

/** Publishes several changes, and checks that each comes into force in time wherever the source can be read. */
async function checkChanges(fleet: RelayFleet, count = 3): Promise<void> {
  for (let change = 0; change < count; change += 1) {
    const version = fleet.publish();
    await fleet.run(IN_FORCE_MS);
    const behind = fleet.instances
      .filter(isHealthy)
      .filter((instance) => instance.version() < version)
      .map(({ instanceId }) => instanceId);
    assert.deepEqual(behind, [], `version ${version} is not in force`);
  }
  for (const instance of fleet.instances) assert.equal(instance.wentBackFrom(), undefined);
}

async function withFleet(
  run: (fleet: RelayFleet) => Promise<void>,
  instancesPerDomain = 5,
): Promise<void> {
  await using fleet = startRelayFleet({ domains: 2, instancesPerDomain });
  fleet.publish();
  await fleet.run(SETTLED_MS);
  await run(fleet);
}

interface FaultCase {
  readonly name: string;
  readonly injectFault: (fleet: RelayFleet) => void;
}

/** Returns a function that injects the same faults into each current watcher. */
const injectWatcherFaults = (faults: Partial<RelayFaults>) => (fleet: RelayFleet) => {
  for (const watcher of currentWatchers(fleet)) watcher.setFaults(faults);
};

const FAULTS: readonly FaultCase[] = [
  {
    name: 'the watchers stop answering',
    injectFault: injectWatcherFaults({ isSilent: true }),
  },
  {
    name: 'the watchers are cut off from the source only',
    injectFault: injectWatcherFaults({ isCutFromSource: true }),
  },
  {
    name: 'the watchers answer calls but receive no answers to their own',
    injectFault: injectWatcherFaults({ hearsNobody: true }),
  },
  {
    name: 'the watchers are slow',
    injectFault: injectWatcherFaults({ isSlowByMs: 300 }),
  },
  {
    name: 'the watchers are considered dead and still run',
    injectFault: (fleet) =>
      fleet.setDead(currentWatchers(fleet).map(({ instanceId }) => instanceId)),
  },
  {
    name: 'all but one instance of each domain are cut off from the source',
    injectFault(fleet) {
      for (const instance of fleet.instances) {
        instance.setFaults({ isCutFromSource: !instance.instanceId.endsWith('-3') });
      }
    },
  },
  {
    name: 'the source loses its history',
    injectFault: (fleet) => fleet.forgetHistory(),
  },
];

describe('published state, followed by a fleet', () => {
  it('is watched by one instance of each failure domain', () =>
    withFleet(async (fleet) => {
      const domains = currentWatchers(fleet).map(({ failureDomain }) => failureDomain);
      assert.deepEqual(domains.sort(), ['d0', 'd1']);
      await checkChanges(fleet);
    }));

  // The watcher of a domain is cut off from the others or from the source in one of many ways. An instance that relies
  // on it would send requests to servers that have left, without any sign of a problem to callers.
  for (const { name, injectFault } of FAULTS) {
    for (const offsetMs of FAULT_OFFSETS_MS) {
      it(`is in force in time when ${name}, from ${offsetMs} ms on`, () =>
        withFleet(async (fleet) => {
          await fleet.run(offsetMs);
          injectFault(fleet);
          await checkChanges(fleet);
        }));
    }

    it(`is in force in time when ${name} and recover meanwhile`, () =>
      withFleet(async (fleet) => {
        injectFault(fleet);
        fleet.publish();
        await fleet.run(1_500);
        for (const instance of fleet.instances) instance.setFaults(NO_FAULTS);
        fleet.setDead([]);
        await checkChanges(fleet, 4);
      }));
  }

  // A watcher stops answering. An instance that calls it again before each watch would see every change a second or two
  // late.
  it('does not wait again for a watcher that has just failed to answer', () =>
    withFleet(async (fleet) => {
      injectWatcherFaults({ isSilent: true })(fleet);
      await fleet.run(IN_FORCE_MS);
      const version = fleet.publish();
      await fleet.run(SKIP_WITHIN_MS);
      for (const instance of fleet.instances.filter(isHealthy)) {
        assert.equal(instance.version(), version, instance.instanceId);
      }
    }));

  // The source is unavailable for some seconds and changes are published just when it returns. If instances waited for
  // one another then, they would see the changes late.
  it('is in force in time after an outage of the source', () =>
    withFleet(async (fleet) => {
      fleet.setSourceUp(false);
      await fleet.run(6_000);
      fleet.setSourceUp(true);
      await checkChanges(fleet);
    }));

  // The source is restored from an older backup, and its revisions are assigned again. An instance that compares them
  // with those of before would ignore new changes, and keep old routes for good.
  for (const offsetMs of FAULT_OFFSETS_MS) {
    it(`is in force in time after the source was restored from an older backup, from ${offsetMs} ms on`, () =>
      withFleet(async (fleet) => {
        for (let change = 0; change < 6; change += 1) fleet.publish();
        await fleet.run(1_000 + offsetMs);
        fleet.restore(5);
        await checkChanges(fleet);
      }));

    it(`is in force in time after an outage and a restore from an older backup, from ${offsetMs} ms on`, () =>
      withFleet(async (fleet) => {
        for (let change = 0; change < 6; change += 1) fleet.publish();
        await fleet.run(1_000 + offsetMs);
        fleet.setSourceUp(false);
        await fleet.run(60);
        fleet.restore(5);
        for (let change = 0; change < 8; change += 1) fleet.publish();
        fleet.setSourceUp(true);
        await checkChanges(fleet);
      }));
  }

  it('is in force in time after the source was restored from an older backup twice within a second', () =>
    withFleet(async (fleet) => {
      for (let change = 0; change < 6; change += 1) fleet.publish();
      await fleet.run(1_000);
      fleet.restore(3);
      await fleet.run(400);
      fleet.publish();
      fleet.restore(2);
      await checkChanges(fleet);
    }));

  it('is in force in time after a restore of the source that the watchers cannot see', () =>
    withFleet(async (fleet) => {
      for (let change = 0; change < 6; change += 1) fleet.publish();
      await fleet.run(1_000);
      injectWatcherFaults({ isCutFromSource: true })(fleet);
      fleet.restore(5);
      await checkChanges(fleet);
    }));

  // If each instance read the complete state when the source returns, a fleet of hundreds would request the complete
  // state hundreds of times from a source that has just recovered.
  for (const instancesPerDomain of [4, 15, 150]) {
    it(`needs few calls by ${2 * instancesPerDomain} instances when the source is restored from a backup`, () =>
      withFleet(async (fleet) => {
        for (let change = 0; change < 6; change += 1) fleet.publish();
        await fleet.run(1_000);
        const before = fleet.sourceCalls();
        fleet.restore(5);
        await fleet.run(2_000);
        const calls = fleet.sourceCalls() - before;
        assert.ok(calls <= MAX_CALLS_AFTER_RESTORE, `${calls} calls`);
        await checkChanges(fleet);
      }, instancesPerDomain));
  }

  // Configurations follow one another within fractions of a second. A follower that adopts an older one after a newer
  // one would serve requests by routes that no longer exist.
  it('never goes back to an older version during a burst of changes', () =>
    withFleet(async (fleet) => {
      for (let change = 0; change < 100; change += 1) {
        fleet.publish();
        await fleet.run(70);
      }
      await checkChanges(fleet);
    }));

  // A fleet grows tenfold with the same source. If each instance watched, the source would be called ten times as
  // often, and would refuse the later calls.
  it('needs at most three times as many calls for 300 instances as for 30', async () => {
    const callsOf = async (instancesPerDomain: number) => {
      let calls = 0;
      await withFleet(async (fleet) => {
        const before = fleet.sourceCalls();
        for (let change = 0; change < 10; change += 1) {
          fleet.publish();
          await fleet.run(500);
        }
        calls = fleet.sourceCalls() - before;
      }, instancesPerDomain);
      return calls;
    };
    const small = await callsOf(15);
    const large = await callsOf(150);
    assert.ok(large <= 3 * small, `${large} calls, and ${small} of the small fleet`);
  });
});
