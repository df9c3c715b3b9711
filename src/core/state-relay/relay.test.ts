import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NO_FAULTS, startRelayFleet } from '../../testing/relay-fleet';
import type { RelayFaults, RelayFleet, RelayFleetInstance } from '../../testing/relay-fleet';

/**
 * Time within which a change is in force at every instance that could read the source, ms: the shortest time that
 * operators give for taking a server out of use.
 */
const IN_FORCE_MS = 3_000;
/** Less than one wait for a silent watcher, ms. */
const PASSED_OVER_MS = 800;
/** Time for a fleet to settle who watches. */
const SETTLED_MS = 8_000;

/** Moments of a watch at which a fault may come, ms after the fleet has settled. */
const MOMENTS_MS = [0, 150, 400, 650, 900, 1_150];

/** Of a fleet in two domains within two seconds: of each watcher the watch that was cut, a read, and some watches. */
const MOST_CALLS_AT_A_RETURN = 16;

const watchersOf = (fleet: RelayFleet) =>
  fleet.instances.filter(({ relayed }) => relayed.isWatching());

const isWell = ({ faults }: RelayFleetInstance) =>
  !faults.isSilent && !faults.hearsNobody && !faults.isCutFromSource;

/** Publishes several changes, and checks that each is in force in time wherever the source can be read. */
async function checkChanges(fleet: RelayFleet, count = 3): Promise<void> {
  for (let change = 0; change < count; change += 1) {
    const version = fleet.publish();
    await fleet.run(IN_FORCE_MS);
    const behind = fleet.instances
      .filter(isWell)
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
  readonly spoil: (fleet: RelayFleet) => void;
}

/** The watchers as they stand, each of them spoiled in one way. */
const spoilWatchers = (faults: Partial<RelayFaults>) => (fleet: RelayFleet) => {
  for (const watcher of watchersOf(fleet)) watcher.setFaults(faults);
};

const FAULTS: readonly FaultCase[] = [
  {
    name: 'the watchers stand still',
    spoil: spoilWatchers({ isSilent: true }),
  },
  {
    name: 'the watchers are cut off from the source alone',
    spoil: spoilWatchers({ isCutFromSource: true }),
  },
  {
    name: 'the watchers are heard and hear nobody',
    spoil: spoilWatchers({ hearsNobody: true }),
  },
  {
    name: 'the watchers are slow',
    spoil: spoilWatchers({ isSlowByMs: 300 }),
  },
  {
    name: 'the watchers are held for dead and go on',
    spoil: (fleet) => fleet.setDead(watchersOf(fleet).map(({ instanceId }) => instanceId)),
  },
  {
    name: 'all but one of each domain are cut off from the source',
    spoil(fleet) {
      for (const instance of fleet.instances) {
        instance.setFaults({ isCutFromSource: !instance.instanceId.endsWith('-3') });
      }
    },
  },
  {
    name: 'the source forgets its history',
    spoil: (fleet) => fleet.forgetHistory(),
  },
];

describe('what is published, followed by a fleet', () => {
  it('is watched by one instance of each failure domain', () =>
    withFleet(async (fleet) => {
      const domains = watchersOf(fleet).map(({ failureDomain }) => failureDomain);
      assert.deepEqual(domains.sort(), ['d0', 'd1']);
      await checkChanges(fleet);
    }));

  // The instance that watches for its domain is lost to the others or to the source in one of many ways. Whoever goes by
  // its word sends requests to servers that have left, while callers are told that all is well.
  for (const { name, spoil } of FAULTS) {
    for (const momentMs of MOMENTS_MS) {
      it(`is in force in time when ${name}, from ${momentMs} ms on`, () =>
        withFleet(async (fleet) => {
          await fleet.run(momentMs);
          spoil(fleet);
          await checkChanges(fleet);
        }));
    }

    it(`is in force in time when ${name}, and they come back meanwhile`, () =>
      withFleet(async (fleet) => {
        spoil(fleet);
        fleet.publish();
        await fleet.run(1_500);
        for (const instance of fleet.instances) instance.setFaults(NO_FAULTS);
        fleet.setDead([]);
        await checkChanges(fleet, 4);
      }));
  }

  // A watcher stays silent. Whoever asks it again before each watch learns of every change a second or two later than it could.
  it('does not wait again for a watcher that has just been silent', () =>
    withFleet(async (fleet) => {
      spoilWatchers({ isSilent: true })(fleet);
      await fleet.run(IN_FORCE_MS);
      const version = fleet.publish();
      await fleet.run(PASSED_OVER_MS);
      for (const instance of fleet.instances.filter(isWell)) {
        assert.equal(instance.version(), version, instance.instanceId);
      }
    }));

  // The source is away for some seconds and changes are made just when it is back. Instances that wait for one another
  // then learn of them late.
  it('is in force in time after the source was away', () =>
    withFleet(async (fleet) => {
      fleet.setSourceUp(false);
      await fleet.run(6_000);
      fleet.setSourceUp(true);
      await checkChanges(fleet);
    }));

  // The source comes back from an older copy, and its revisions are given out again. Whoever compares them with those of
  // before passes over what is new, and goes on with old routes for good.
  for (const momentMs of MOMENTS_MS) {
    it(`is in force in time after the source came back from an older copy, from ${momentMs} ms on`, () =>
      withFleet(async (fleet) => {
        for (let change = 0; change < 6; change += 1) fleet.publish();
        await fleet.run(1_000 + momentMs);
        fleet.restore(5);
        await checkChanges(fleet);
      }));

    it(`is in force in time after it was away and came back so, from ${momentMs} ms on`, () =>
      withFleet(async (fleet) => {
        for (let change = 0; change < 6; change += 1) fleet.publish();
        await fleet.run(1_000 + momentMs);
        fleet.setSourceUp(false);
        await fleet.run(60);
        fleet.restore(5);
        for (let change = 0; change < 8; change += 1) fleet.publish();
        fleet.setSourceUp(true);
        await checkChanges(fleet);
      }));
  }

  it('is in force in time after the source came back from an older copy twice within a second', () =>
    withFleet(async (fleet) => {
      for (let change = 0; change < 6; change += 1) fleet.publish();
      await fleet.run(1_000);
      fleet.restore(3);
      await fleet.run(400);
      fleet.publish();
      fleet.restore(2);
      await checkChanges(fleet);
    }));

  it('is in force in time after a return of the source that the watchers cannot see', () =>
    withFleet(async (fleet) => {
      for (let change = 0; change < 6; change += 1) fleet.publish();
      await fleet.run(1_000);
      spoilWatchers({ isCutFromSource: true })(fleet);
      fleet.restore(5);
      await checkChanges(fleet);
    }));

  // Were each instance to read everything when the source is back, a fleet of hundreds would ask for hundreds of times all
  // that it holds, just when it has come back.
  for (const instancesPerDomain of [4, 15, 150]) {
    it(`costs ${2 * instancesPerDomain} instances few calls when the source comes back from a copy`, () =>
      withFleet(async (fleet) => {
        for (let change = 0; change < 6; change += 1) fleet.publish();
        await fleet.run(1_000);
        const before = fleet.sourceCalls();
        fleet.restore(5);
        await fleet.run(2_000);
        const calls = fleet.sourceCalls() - before;
        assert.ok(calls <= MOST_CALLS_AT_A_RETURN, `${calls} calls`);
        await checkChanges(fleet);
      }, instancesPerDomain));
  }

  // Configurations follow one another within fractions of a second. A follower that takes an older one after a newer one
  // serves requests by routes that are gone.
  it('never goes back in a storm of changes', () =>
    withFleet(async (fleet) => {
      for (let change = 0; change < 100; change += 1) {
        fleet.publish();
        await fleet.run(70);
      }
      await checkChanges(fleet);
    }));

  // A fleet grows tenfold before the same source. Were each instance to watch, the source would be called ten times as
  // often, and turns away whoever comes late.
  it('costs a fleet of 300 no more than three times the calls of one of 30', async () => {
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
