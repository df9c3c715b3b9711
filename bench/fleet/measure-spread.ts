import { splitConfiguration } from '../../src/core/configuration';
import type { ConfigurationInput, PublishedConfiguration } from '../../src/core/configuration';
import { sampleConfiguration, withCallerChanged } from '../../src/testing/sample-configuration';
import { createVirtualFleet, startEvenFleet } from '../../src/testing/virtual-fleet';
import type { VirtualFleet } from '../../src/testing/virtual-fleet';

/** How a version spreads, and what the configuration service is asked, by size. */

/** What one size gave. */
export interface SpreadFigures {
  readonly instances: number;
  /** From publishing until in force, over all instances and changes, ms. */
  readonly medianMs: number;
  readonly allMs: number;
  /** The same when one instance alone learns of it and the service tells nobody else, ms. */
  readonly fromOneInstanceMs: number;
  readonly readsPerChange: number;
  /** Over a minute at 16,000 changes a day. */
  readonly readsPerSecond: number;
  readonly bytesPerSecond: number;
  /** In the minute after every instance of one region was replaced. */
  readonly restartReads: number;
  readonly restartPeakReadsPerSecond: number;
  /** From the restart until every new instance may serve, ms. */
  readonly restartServingMs: number;
}

const CHANGES = 5;
const STEP_MS = 20;
const CHANGE_INTERVAL_MS = 86_400_000 / 16_000;
const MINUTE_MS = 60_000;
const CALLERS = 600;

interface Publisher {
  document: ConfigurationInput;
  published: PublishedConfiguration;
}

const all = (fleet: VirtualFleet) => [...fleet.instances.values()];

function publishNext(fleet: VirtualFleet, publisher: Publisher): void {
  const { document, published } = publisher;
  const next = withCallerChanged(document, document.version % CALLERS);
  const split = splitConfiguration(next, { document, manifest: published.manifest });
  Object.assign(publisher, { document: next, published: split });
  fleet.service.publish(split.rootText, split.documents);
}

/** Runs until all instances have `version`; returns when each came to it. */
async function timesUntilAllHave(fleet: VirtualFleet, version: number): Promise<number[]> {
  const timesMs: number[] = [];
  const waiting = new Set(all(fleet));
  for (let atMs = STEP_MS; waiting.size > 0 && atMs < MINUTE_MS; atMs += STEP_MS) {
    await fleet.clock.runFor(STEP_MS);
    for (const instance of waiting) {
      if ((instance.store.current()?.version ?? 0) >= version) {
        waiting.delete(instance);
        timesMs.push(atMs);
      }
    }
  }
  if (waiting.size > 0) throw new Error(`${waiting.size} instances never had version ${version}`);
  return timesMs;
}

async function measureFromOne(fleet: VirtualFleet, publisher: Publisher): Promise<number> {
  let longestMs = 0;
  fleet.service.setMood('stale');
  for (const instanceId of ['i-3', 'i-4', 'i-5']) {
    publishNext(fleet, publisher);
    const { rootText, documents } = publisher.published;
    fleet.get(instanceId).store.offer(rootText, 'bench', documents);
    const timesMs = await timesUntilAllHave(fleet, publisher.document.version);
    longestMs = Math.max(longestMs, ...timesMs);
    await fleet.clock.runFor(7_000);
  }
  fleet.service.setMood('up');
  await fleet.clock.runFor(5_000);
  return longestMs;
}

async function measureChanges(fleet: VirtualFleet, publisher: Publisher) {
  const timesMs: number[] = [];
  for (let change = 0; change < CHANGES; change += 1) {
    publishNext(fleet, publisher);
    timesMs.push(...(await timesUntilAllHave(fleet, publisher.document.version)));
    await fleet.clock.runFor(7_000);
  }
  timesMs.sort((left, right) => left - right);
  return { medianMs: timesMs[Math.floor(timesMs.length / 2)] ?? 0, allMs: timesMs.at(-1) ?? 0 };
}

async function measureMinute(fleet: VirtualFleet, publisher: Publisher) {
  const readsBefore = fleet.service.readCount();
  const bytes = () => all(fleet).reduce((sum, each) => sum + each.sentBytes(), 0);
  const bytesBefore = bytes();
  let changes = 0;
  for (let atMs = 0; atMs < MINUTE_MS; atMs += CHANGE_INTERVAL_MS) {
    publishNext(fleet, publisher);
    changes += 1;
    await fleet.clock.runFor(CHANGE_INTERVAL_MS);
  }
  const reads = fleet.service.readCount() - readsBefore;
  return {
    readsPerChange: reads / changes,
    readsPerSecond: reads / (MINUTE_MS / 1_000),
    bytesPerSecond: (bytes() - bytesBefore) / all(fleet).length / (MINUTE_MS / 1_000),
  };
}

async function measureRestart(fleet: VirtualFleet) {
  const readsBefore = fleet.service.readCount();
  const gone = all(fleet).filter(({ place }) => place.region === 'region-0');
  for (const { instanceId } of gone) await fleet.crash(instanceId, false);
  const fresh = gone.map(({ instanceId, place }) =>
    fleet.start({
      instanceId,
      region: place.region,
      failureDomain: place.failureDomain,
      seedPeers: ['i-0:7400', 'i-1:7400', 'i-2:7400'],
    }),
  );
  let restartServingMs = 0;
  for (let atMs = 0; atMs < MINUTE_MS; atMs += STEP_MS * 5) {
    await fleet.clock.runFor(STEP_MS * 5);
    const serving = fresh.every(({ sync }) => sync?.isSettled() === true);
    if (!serving) restartServingMs = atMs + STEP_MS * 5;
  }
  return {
    restartReads: fleet.service.readCount() - readsBefore,
    restartPeakReadsPerSecond: fleet.service.peakReadsPerSecond(),
    restartServingMs: restartServingMs + STEP_MS * 5,
  };
}

/** Runs one size. */
export async function measureSpread(instances: number): Promise<SpreadFigures> {
  const regions = instances >= 100 ? 8 : 3;
  const document = sampleConfiguration({ regions, services: 4, servers: 40, callers: CALLERS });
  const publisher = { document, published: splitConfiguration(document) };
  const fleet = createVirtualFleet(2, { withConfiguration: true });
  fleet.service.publish(publisher.published.rootText, publisher.published.documents);
  startEvenFleet(fleet, instances, regions);
  await fleet.clock.runFor(20_000);
  const changes = await measureChanges(fleet, publisher);
  const fromOneInstanceMs = await measureFromOne(fleet, publisher);
  const minute = await measureMinute(fleet, publisher);
  const restart = await measureRestart(fleet);
  await fleet[Symbol.asyncDispose]();
  return { instances, ...changes, fromOneInstanceMs, ...minute, ...restart };
}
