import assert from 'node:assert/strict';
import { splitConfiguration } from '../../configuration';
import type { ConfigurationInput, PublishedConfiguration } from '../../configuration';
import { sampleConfiguration, withCallerChanged } from '../../../testing/sample-configuration';
import { createVirtualFleet, startEvenFleet } from '../../../testing/virtual-fleet';
import type { VirtualFleet, VirtualInstance } from '../../../testing/virtual-fleet';

const REGIONS = 3;
export const SIZE = 24;
export const SAMPLE = sampleConfiguration({ regions: 3, services: 2, servers: 6, callers: 600 });

/** A version of the configuration and its published form; replaced by `publishNext`. */
export interface Publisher {
  document: ConfigurationInput;
  published: PublishedConfiguration;
}

/** Publishes the next version, in which one caller has changed. */
export function publishNext(fleet: VirtualFleet, publisher: Publisher): void {
  const { document, published } = publisher;
  const next = withCallerChanged(document, document.version % 600);
  const split = splitConfiguration(next, { document, manifest: published.manifest });
  Object.assign(publisher, { document: next, published: split });
  fleet.service.publish(split.rootText, split.documents);
}

type Scenario = (fleet: VirtualFleet, publisher: Publisher) => Promise<void>;

/** Runs a test with instances that have followed the first version for some seconds. */
export async function withFleet(run: Scenario, size = SIZE): Promise<void> {
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

/** Returns all instances. */
export const all = (fleet: VirtualFleet) => [...fleet.instances.values()];
/** Returns the version in force at an instance; 0 if there is none. */
export const versionOf = ({ store }: VirtualInstance) => store.current()?.version ?? 0;
/** Returns the versions in force, each once. */
export const versions = (fleet: VirtualFleet) => [...new Set(all(fleet).map(versionOf))];
/** Returns the instances of a region. */
export const ofRegion = (fleet: VirtualFleet, region: string) =>
  all(fleet).filter(({ place }) => place.region === region);
/** Returns how often an instance has logged an event. */
export const logged = (instance: VirtualInstance, event: { readonly id: number }) =>
  instance.logger.lines.filter(({ definition }) => definition.id === event.id).length;

/** Goes through one change, after which everybody knows that the service is not stale. */
export async function publishFirst(fleet: VirtualFleet, publisher: Publisher): Promise<void> {
  publishNext(fleet, publisher);
  await fleet.clock.runFor(10_000);
  assert.deepEqual(versions(fleet), [2]);
}

/** Publishes a version while the service goes on showing the old one; all instances get it from one that has it. */
export async function spreadPastStaleService(
  fleet: VirtualFleet,
  publisher: Publisher,
): Promise<void> {
  fleet.service.setMood('stale');
  publishNext(fleet, publisher);
  const { rootText, documents } = publisher.published;
  fleet.get('i-4').store.offer(rootText, 'test', documents);
  await fleet.clock.runFor(5_000);
}

/** Crashes instances and starts them again. */
export async function replace(fleet: VirtualFleet, instances: readonly VirtualInstance[]) {
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
