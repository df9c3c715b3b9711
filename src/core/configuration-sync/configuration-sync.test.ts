import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CONFIGURATION_EVENTS } from '../configuration/events';
import { splitConfiguration } from '../configuration';
import type { ConfigurationInput, PublishedConfiguration } from '../configuration';
import { sampleConfiguration, withCallerChanged } from '../../testing/sample-configuration';
import { createVirtualFleet, startEvenFleet } from '../../testing/virtual-fleet';
import type { VirtualFleet, VirtualInstance } from '../../testing/virtual-fleet';
import { configurationStatus } from './configuration-status';
import { CONFIGURATION_SYNC_EVENTS } from './events';

const REGIONS = 3;
const SIZE = 24;
const SAMPLE = sampleConfiguration({ regions: 3, services: 2, servers: 6, callers: 600 });

interface Publisher {
  document: ConfigurationInput;
  published: PublishedConfiguration;
}

function publishNext(fleet: VirtualFleet, publisher: Publisher): void {
  const { document, published } = publisher;
  const next = withCallerChanged(document, document.version % 600);
  const split = splitConfiguration(next, { document, manifest: published.manifest });
  Object.assign(publisher, { document: next, published: split });
  fleet.service.publish(split.rootText, split.documents);
}

type Scenario = (fleet: VirtualFleet, publisher: Publisher) => Promise<void>;

async function withFleet(run: Scenario, size = SIZE): Promise<void> {
  const fleet = createVirtualFleet(3, { withConfiguration: true });
  const publisher = { document: SAMPLE, published: splitConfiguration(SAMPLE) };
  fleet.service.publish(publisher.published.rootText, publisher.published.documents);
  startEvenFleet(fleet, size, REGIONS);
  await fleet.clock.runFor(10_000);
  try {
    await run(fleet, publisher);
  } finally {
    await fleet[Symbol.asyncDispose]();
  }
}

const all = (fleet: VirtualFleet) => [...fleet.instances.values()];
const versionOf = ({ store }: VirtualInstance) => store.current()?.version ?? 0;
const versions = (fleet: VirtualFleet) => [...new Set(all(fleet).map(versionOf))];
const ofRegion = (fleet: VirtualFleet, region: string) =>
  all(fleet).filter(({ place }) => place.region === region);
const logged = (instance: VirtualInstance, event: { readonly id: number }) =>
  instance.logger.lines.filter(({ definition }) => definition.id === event.id).length;

/** Goes through one change, after which everybody knows that the service is not stale. */
async function publishFirst(fleet: VirtualFleet, publisher: Publisher): Promise<void> {
  publishNext(fleet, publisher);
  await fleet.clock.runFor(10_000);
  assert.deepEqual(versions(fleet), [2]);
}

/** Publishes a version while the service goes on showing the old one; all instances get it from one that has it. */
async function spreadPastStaleService(fleet: VirtualFleet, publisher: Publisher): Promise<void> {
  fleet.service.setMood('stale');
  publishNext(fleet, publisher);
  const { rootText, documents } = publisher.published;
  fleet.get('i-4').store.offer(rootText, 'test', documents);
  await fleet.clock.runFor(5_000);
}

async function replace(fleet: VirtualFleet, instances: readonly VirtualInstance[]) {
  const seedPeers = ['i-0:7400', 'i-1:7400', 'i-2:7400'];
  for (const { instanceId } of instances) await fleet.crash(instanceId, false);
  return instances.map(({ instanceId, place }) =>
    fleet.start({
      instanceId,
      seedPeers,
      region: place.region,
      failureDomain: place.failureDomain,
    }),
  );
}

describe('following the configuration', () => {
  it('brings a version into force on every instance within the bound', () =>
    withFleet(async (fleet, publisher) => {
      for (let change = 0; change < 5; change += 1) {
        publishNext(fleet, publisher);
        await fleet.clock.runFor(5_000);
        assert.deepEqual(versions(fleet), [publisher.document.version]);
      }
    }));

  it('has a few instances of each failure domain watch, and the reads grow with domains only', async () => {
    const watchersAt = async (size: number): Promise<number> => {
      let count = 0;
      await withFleet(async (fleet, publisher) => {
        await fleet.clock.runFor(60_000);
        const before = fleet.service.readCount();
        publishNext(fleet, publisher);
        await fleet.clock.runFor(1_000);
        count = fleet.service.readCount() - before;
      }, size);
      return count;
    };
    const [small, large] = [await watchersAt(24), await watchersAt(72)];
    assert.ok(small > 0 && large <= small * 1.2, `${small} and ${large} reads for one change`);
  });

  // Both watchers of a failure domain can't read the service although they live. The domain must not be left
  // to what comes over from others for long.
  it('has others of the failure domain step in when its watchers are silent', () =>
    withFleet(async (fleet) => {
      await fleet.clock.runFor(30_000);
      const members = ofRegion(fleet, 'region-0');
      const watching = members.filter(({ sync }) => sync?.configurationState().watching);
      const cutOff = new Set(watching.map(({ place }) => place.address));
      assert.ok(cutOff.size > 0 && cutOff.size < members.length);
      fleet.service.setUnreachable((place) => cutOff.has(place.address));
      await fleet.clock.runFor(90_000);
      const now = members.filter(({ sync }) => sync?.configurationState().watching);
      assert.ok(now.length > 0 && now.every(({ place }) => !cutOff.has(place.address)));
    }, 36));

  it('sends each instance a few hundred bytes for a change, not the manifest', () =>
    withFleet(async (fleet, publisher) => {
      for (let change = 0; change < 20; change += 1) publishNext(fleet, publisher);
      await fleet.clock.runFor(10_000);
      fleet.service.setMood('stale');
      publishNext(fleet, publisher);
      const { rootText, documents } = publisher.published;
      const { store } = fleet.get('i-4');
      store.offer(rootText, 'test', documents);
      const answer = fleet.get('i-4').sync?.answer({
        haveVersion: publisher.document.version - 1,
        wantedHashes: [],
      });
      const answerBytes = [...(answer?.documents.values() ?? [])].join('').length;
      assert.equal(answer?.rootText, '');
      assert.ok(answerBytes > 0 && answerBytes < 500, `${answerBytes} bytes`);
      await fleet.clock.runFor(5_000);
      assert.deepEqual(versions(fleet), [publisher.document.version]);
    }));

  // A version changes the head, which the changed records do not hold. A root made without it would differ from
  // the published one; it has to be read whole.
  it('reads the whole root when the head changed', () =>
    withFleet(async (fleet, publisher) => {
      fleet.service.setMood('stale');
      const { document, published } = publisher;
      const next = { ...document, version: 2, deployment: 'renamed' };
      const split = splitConfiguration(next, { document, manifest: published.manifest });
      fleet.get('i-4').store.offer(split.rootText, 'test', split.documents);
      await fleet.clock.runFor(5_000);
      assert.deepEqual(versions(fleet), [2]);
      const deployments = all(fleet).map(({ store }) => store.current()?.document.deployment);
      assert.ok(deployments.every((deployment) => deployment === 'renamed'));
    }));

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

  // An instance knows the others by one seed alone, and nobody answers there when it starts. Taken for the only
  // one, it would vouch for whatever an old copy of the configuration says.
  it('does not take itself for a whole site because its seed cannot be reached', () =>
    withFleet(async (fleet) => {
      const fresh = fleet.start({
        instanceId: 'new',
        region: 'region-0',
        failureDomain: 'region-0-0',
        seedPeers: ['late:7400'],
      });
      await fleet.clock.runFor(10_000);
      assert.equal(fresh.sync?.configurationState().configurationConfirmed, false);
      fleet.start({
        instanceId: 'late',
        region: 'region-0',
        failureDomain: 'region-0-0',
        seedPeers: ['i-5:7400'],
      });
      await fleet.clock.runFor(30_000);
      assert.ok(fresh.membership.usablePeers().length === SIZE + 1);
    }));

  it('vouches for itself where the settings name nobody else', async () => {
    const fleet = createVirtualFleet(4, { withConfiguration: true });
    const published = splitConfiguration(SAMPLE);
    fleet.service.publish(published.rootText, published.documents);
    const only = fleet.start({ instanceId: 'only', region: 'region-0', failureDomain: 'a' });
    await fleet.clock.runFor(3_000);
    assert.equal(only.sync?.configurationState().configurationConfirmed, true);
    assert.equal(only.sync?.isSettled(), true);
    await fleet[Symbol.asyncDispose]();
  });

  // Each new instance of a large site needs megabytes. Taken from every peer that it asks, they would fill the
  // links of the region on the day all are replaced.
  it('takes the documents from one peer when it starts', () =>
    withFleet(async (fleet, publisher) => {
      const sent = () => all(fleet).map((each) => each.sentBytes());
      const before = sent();
      fleet.start({
        instanceId: 'new',
        region: 'region-0',
        failureDomain: 'region-0-0',
        seedPeers: ['i-0:7400', 'i-1:7400', 'i-2:7400', 'i-3:7400', 'i-4:7400'],
      });
      await fleet.clock.runFor(2_000);
      const wholeBytes = [...publisher.published.documents.values()].join('').length;
      const givers = sent().filter((bytes, index) => bytes - (before[index] ?? 0) > wholeBytes);
      assert.equal(givers.length, 1);
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

  // Two regions see one version number with different contents. They end with the same one, and each side says
  // that something is wrong.
  it('ends with one content when a number was published twice, and raises the alarm', () =>
    withFleet(async (fleet) => {
      fleet.setCut((from, to) => (from.region === 'region-0') !== (to.region === 'region-0'));
      const [one, two] = [5, 6].map((index) => {
        const document = { ...withCallerChanged(SAMPLE, index), version: 9 };
        return splitConfiguration(document);
      });
      assert.ok(one !== undefined && two !== undefined);
      fleet.get('i-0').store.offer(one.rootText, 'test', one.documents);
      fleet.get('i-1').store.offer(two.rootText, 'test', two.documents);
      await fleet.clock.runFor(10_000);
      fleet.setCut(undefined);
      await fleet.clock.runFor(30_000);
      const digests = new Set(all(fleet).map(({ store }) => store.currentImage()?.digest));
      assert.equal(digests.size, 1);
      const alarms = all(fleet).map((each) => logged(each, CONFIGURATION_EVENTS.contentConflict));
      assert.ok(alarms.some((count) => count > 0));
    }));

  // A version with a mistake is published. Every instance keeps the last good one, and the next version comes
  // into force as ever.
  it('lets a version with a mistake stand in nobody’s way', () =>
    withFleet(async (fleet, publisher) => {
      fleet.service.publish('{"version": 2, "callers": []}');
      await fleet.clock.runFor(5_000);
      assert.deepEqual(versions(fleet), [1]);
      publishNext(fleet, publisher);
      publishNext(fleet, publisher);
      await fleet.clock.runFor(5_000);
      assert.deepEqual(versions(fleet), [3]);
    }));

  it('tells operators which instances have which version, since when, and which lag', () =>
    withFleet(async (fleet, publisher) => {
      fleet.setCut((from, to) => from.address === 'i-7:7400' || to.address === 'i-7:7400');
      fleet.service.setUnreachable((place) => place.address === 'i-7:7400');
      publishNext(fleet, publisher);
      await fleet.clock.runFor(3_000);
      const status = configurationStatus(fleet.get('i-0').membership.members());
      assert.equal(status.highestVersion, 2);
      assert.ok(status.lagging.includes('i-7'));
      const own = status.instances.find(({ instanceId }) => instanceId === 'i-0');
      assert.equal(own?.version, 2);
      assert.ok((own?.sinceUnixMs ?? 0) > fleet.clock.unixMs() - 3_500);
    }));
});
