import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CONFIGURATION_EVENTS } from '../configuration/events';
import { splitConfiguration } from '../configuration';
import { withCallerChanged } from '../../testing/sample-configuration';
import { createVirtualFleet } from '../../testing/virtual-fleet';
import { configurationStatus } from './configuration-status';
import {
  SAMPLE,
  SIZE,
  all,
  logged,
  ofRegion,
  publishNext,
  versions,
  withFleet,
} from './testing/following-fleet';

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
