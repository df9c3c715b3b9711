import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CONFIGURATION_EVENTS } from '../configuration/events';
import { CONFIGURATION_SYNC_EVENTS } from './events';
import {
  all,
  logged,
  ofRegion,
  publishFirst,
  publishNext,
  replace,
  spreadPastStaleService,
  versionOf,
  versions,
  withFleet,
} from './testing/following-fleet';

describe('following the configuration from a service that is down, stale or cut off', () => {
  // The service is down for an hour while instances come and go. Requests go on by the last version, and the
  // new ones get it from their peers.
  it('goes on without the service, and hands the version to instances that are replaced', () =>
    withFleet(async (fleet, publisher) => {
      publishNext(fleet, publisher);
      await fleet.clock.runFor(5_000);
      fleet.service.setMood('down');
      for (const region of ['region-0', 'region-1', 'region-2']) {
        await replace(fleet, ofRegion(fleet, region));
        await fleet.clock.runFor(20_000);
      }
      assert.deepEqual(versions(fleet), [2]);
      assert.ok(all(fleet).every(({ sync }) => sync?.isSettled() === true));
    }));

  // The service shows an old copy while every instance of one region is replaced. Were the copy believed, a
  // caller whose regions were tightened would be served where its data may no longer be.
  it('does not fall back when a whole region is replaced while the service is stale', () =>
    withFleet(async (fleet, publisher) => {
      await publishFirst(fleet, publisher);
      await spreadPastStaleService(fleet, publisher);
      assert.deepEqual(versions(fleet), [3]);
      const fresh = await replace(fleet, ofRegion(fleet, 'region-0'));
      await fleet.clock.runFor(10_000);
      assert.deepEqual(versions(fleet), [3]);
      assert.ok(
        fresh.every(({ sync }) => sync?.configurationState().configurationConfirmed === true),
      );
      const everInForce = fresh.flatMap(({ logger }) =>
        logger.lines
          .filter(({ definition }) => definition.id === CONFIGURATION_EVENTS.versionInForce.id)
          .map(({ fields }) => fields.version),
      );
      assert.ok(everInForce.every((version) => version === 3));
    }));

  // The same with the region cut off from all others at that time: nobody is left who knows better. The region
  // serves its own callers by what the service gives, says so, and catches up once it is joined again.
  it('serves unconfirmed and says so when a region is replaced while stale and cut off', () =>
    withFleet(async (fleet, publisher) => {
      await publishFirst(fleet, publisher);
      await spreadPastStaleService(fleet, publisher);
      assert.deepEqual(versions(fleet), [3]);
      fleet.setCut((from, to) => (from.region === 'region-0') !== (to.region === 'region-0'));
      const fresh = await replace(fleet, ofRegion(fleet, 'region-0'));
      await fleet.clock.runFor(30_000);
      assert.ok(fresh.every((instance) => versionOf(instance) === 2));
      assert.ok(fresh.every((instance) => instance.sync?.isSettled() === true));
      assert.ok(fresh.every((each) => logged(each, CONFIGURATION_SYNC_EVENTS.unconfirmed) === 1));
      fleet.setCut(undefined);
      await fleet.clock.runFor(30_000);
      assert.deepEqual(versions(fleet), [3]);
      assert.ok(
        fresh.every(({ sync }) => sync?.configurationState().configurationConfirmed === true),
      );
    }));

  it('serves nobody by an unconfirmed version where the settings say so', () =>
    withFleet(async (fleet, publisher) => {
      await publishFirst(fleet, publisher);
      fleet.setCut((from, to) => from.address === 'new:7400' || to.address === 'new:7400');
      const fresh = fleet.start({
        instanceId: 'new',
        region: 'region-0',
        failureDomain: 'region-0-0',
        seedPeers: ['i-0:7400'],
        whenUnconfirmed: 'refuse',
      });
      await fleet.clock.runFor(30_000);
      assert.equal(versionOf(fresh), 2);
      assert.equal(fresh.sync?.isSettled(), false);
      fleet.setCut(undefined);
      await fleet.clock.runFor(30_000);
      assert.equal(fresh.sync?.isSettled(), true);
    }));

  // Every instance of every region is replaced at once while the service is stale. Nothing that knew the
  // newer version is left; the version falls to what the service gives, and rises again with it.
  it('can only take what the service gives when all regions are replaced at once, and says so', () =>
    withFleet(async (fleet, publisher) => {
      await spreadPastStaleService(fleet, publisher);
      const fresh = await replace(fleet, all(fleet));
      await fleet.clock.runFor(30_000);
      assert.deepEqual(versions(fleet), [1]);
      assert.ok(fresh.every((each) => logged(each, CONFIGURATION_SYNC_EVENTS.unconfirmed) === 1));
      fleet.service.setMood('up');
      await fleet.clock.runFor(5_000);
      assert.deepEqual(versions(fleet), [2]);
    }));

  // A region is cut off and the service is stale there, both for minutes; versions are published meanwhile.
  it('catches up after a region was cut off from peers and service, and never goes back', () =>
    withFleet(async (fleet, publisher) => {
      fleet.setCut((from, to) => (from.region === 'region-2') !== (to.region === 'region-2'));
      fleet.service.setUnreachable((place) => place.region === 'region-2');
      for (let change = 0; change < 20; change += 1) {
        publishNext(fleet, publisher);
        await fleet.clock.runFor(10_000);
      }
      assert.deepEqual([...new Set(ofRegion(fleet, 'region-2').map(versionOf))], [1]);
      fleet.setCut(undefined);
      await fleet.clock.runFor(30_000);
      assert.deepEqual(versions(fleet), [21]);
      for (const { logger } of all(fleet)) {
        const seen = logger.lines
          .filter(({ definition }) => definition.id === CONFIGURATION_EVENTS.versionInForce.id)
          .map(({ fields }) => Number(fields.version));
        assert.deepEqual(
          seen,
          [...seen].sort((left, right) => left - right),
        );
      }
    }));
});
