import { chooseRegion, createSpillWindows } from '../../placement';
import type { SpillWindows } from '../../placement';
import { createSeededRandom, pickIndex } from '../../random';
import { createServerRegistry } from '../../server-registry';
import { createOtherRegions } from '../other-regions';
import type { ForwardPeer, OtherRegions } from '../other-regions';
import type { RequestPlan, TriedDestinations } from '../types';

/**
 * Spillover between three regions of unequal size while demand moves between them in waves: the decisions of the
 * instances, with the servers of each region as one queue and reports that are 0.1 to 2 s old.
 */

/** Load on three regions. */
export interface RegionsLoad {
  readonly seed: number;
  readonly instancesPerRegion: number;
  /** Demand of all regions together as a share of their capacity. */
  readonly demand: number;
  readonly regionalRoom: boolean;
  readonly slotsPerServer: number;
  /** Amplitude of the waves as a share of a region's mean demand; 0 for steady demand. */
  readonly waveAmplitude: number;
}

/** Counts of one simulation. */
export interface RegionsResult {
  readonly arrived: number;
  readonly inTime: number;
  /** In-time requests and arrivals by objective, ms. */
  readonly byObjective: ReadonlyMap<number, { arrived: number; inTime: number; left: number }>;
  readonly refused: number;
  /** Refused while the true room of another region was positive at a utilization below the bound. */
  readonly refusedDespiteRoom: number;
  /** Requests that arrived in another region. */
  readonly forwarded: number;
  /** Requests that arrived in another region without free slots. */
  readonly forwardedAboveRoom: number;
  /**
   * Largest change between two seconds of the requests forwarded to a region, as a share of what it can serve. The first
   * seconds, in which the regions fill, do not count.
   */
  readonly maxChange: number;
}

const SERVICE = 'chat';
const REGIONS = ['north', 'south', 'east'];
/** Servers of each region, as in one of the deployments. */
const SERVERS = [19, 14, 10];
const MEAN_SERVICE_MS = 2_000;
const OWN_PREFILL_MS = 80;
const ONE_WAY_MS = 55;
const DURATION_MS = 40_000;
const WAVE_MS = 20_000;
/** Seconds in which the regions fill with requests, five times the mean time in a slot. */
const FILLING_SECONDS = 10;
const REPORT_INTERVAL_MS = 1_000;
const MIN_REPORT_DELAY_MS = 100;
const OBJECTIVES = [500, 1_500];
/** Utilization below which a region takes requests of others. */
const MAX_UTILIZATION = 0.75;

interface SimulatedInstance {
  readonly id: string;
  readonly region: number;
  readonly windows: SpillWindows;
  regions: OtherRegions | undefined;
}

interface SimulatedRequest {
  readonly from: SimulatedInstance;
  readonly plan: RequestPlan;
  readonly arrivedAtMs: number;
  readonly tried: { readonly ids: Set<string>; readonly refusingRegions: Set<string> };
}

interface Timed {
  readonly atMs: number;
  run(): void;
}

function planOf(objectiveMs: number): RequestPlan {
  return {
    route: SERVICE,
    service: SERVICE,
    kind: 'stream',
    isResumable: false,
    priority: 1,
    objectiveMs,
    pauseObjectiveMs: undefined,
    maxAttempts: 1,
    homeRegions: [],
    routesVersion: 1,
    deadlineAtMs: Infinity,
    timeoutAtMs: Infinity,
    isForwarded: false,
    account: undefined,
  };
}

function createServers(slotsPerServer: number) {
  const servers = createServerRegistry({ regionOf: (domain) => domain, coldStartMs: () => 0 });
  REGIONS.forEach((region, index) => {
    for (let server = 0; server < (SERVERS[index] ?? 0); server += 1) {
      servers.put(
        {
          serverId: `${region}-${server}`,
          startedAtUnixMs: undefined,
          softwareVersion: 'v1',
          service: SERVICE,
          address: `${region}-${server}:1`,
          failureDomain: region,
          slots: slotsPerServer,
          isDraining: false,
          coldForMs: 0,
          goneInMs: undefined,
        },
        0,
      );
    }
  });
  return servers;
}

/** Simulates one load; the same seed gives the same arrivals. */
export function simulateRegions(load: RegionsLoad): RegionsResult {
  const arrivalRandom = createSeededRandom(load.seed);
  const random = createSeededRandom(load.seed + 1_000);
  const servers = createServers(load.slotsPerServer);
  const plans = OBJECTIVES.map(planOf);
  const slots = SERVERS.map((count) => count * load.slotsPerServer);
  const open = REGIONS.map(() => 0);
  const queues: (() => void)[][] = REGIONS.map(() => []);
  const byObjective = new Map(
    OBJECTIVES.map((objectiveMs) => [objectiveMs, { arrived: 0, inTime: 0, left: 0 }]),
  );
  const forwardedBySecond = REGIONS.map(() => new Array<number>(DURATION_MS / 1_000).fill(0));
  const counts = { refused: 0, refusedDespiteRoom: 0, forwarded: 0, forwardedAboveRoom: 0 };
  const peers = new Map<string, ForwardPeer>();
  /** Open requests of each instance at the servers of its region. */
  const openAt = new Map<string, number>();
  let nowMs = 0;

  const events: Timed[] = [];
  const at = (atMs: number, run: () => void): void => {
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((events[middle]?.atMs ?? 0) > atMs) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, { atMs, run });
  };

  const instances: SimulatedInstance[] = REGIONS.flatMap((region, index) =>
    Array.from({ length: load.instancesPerRegion }, (_unused, number) => {
      const id = `${region}-i-${number}`;
      const windows = createSpillWindows();
      peers.set(id, { instanceId: id, region, forwardAddress: id, inFlightRequests: 0 });
      return { id, region: index, windows, regions: undefined };
    }),
  );
  for (const instance of instances) {
    instance.regions = createOtherRegions({
      region: REGIONS[instance.region] ?? '',
      servers,
      windows: instance.windows,
      pool: { hasIdleConnection: () => true },
      peers: () => [...peers.values()],
      draw: () => random.next(),
      regionalRoom: () => load.regionalRoom,
    });
  }
  const instanceOf = new Map(instances.map((instance) => [instance.id, instance]));

  const report = (instance: SimulatedInstance): void => {
    const peer: ForwardPeer = {
      instanceId: instance.id,
      region: REGIONS[instance.region] ?? '',
      forwardAddress: instance.id,
      inFlightRequests: openAt.get(instance.id) ?? 0,
      openRequestsByService: [[SERVICE, openAt.get(instance.id) ?? 0]],
    };
    const delayMs = MIN_REPORT_DELAY_MS + random.next() * (1_000 - MIN_REPORT_DELAY_MS);
    at(nowMs + delayMs, () => peers.set(instance.id, peer));
    at(nowMs + REPORT_INTERVAL_MS, () => report(instance));
  };

  const waitMs = (region: number): number => {
    const total = slots[region] ?? 1;
    const free = total - (open[region] ?? 0);
    return free > 0 ? 0 : (((queues[region]?.length ?? 0) + 1) * MEAN_SERVICE_MS) / total;
  };

  /** Runs a request at the servers of a region; calls back with its first byte. */
  const run = (region: number, instance: SimulatedInstance, onFirstByte: () => void): void => {
    openAt.set(instance.id, (openAt.get(instance.id) ?? 0) + 1);
    const start = (): void => {
      at(nowMs + OWN_PREFILL_MS, onFirstByte);
      const serviceMs = MEAN_SERVICE_MS * -Math.log(1 - random.next());
      at(nowMs + Math.max(OWN_PREFILL_MS, serviceMs), () => {
        openAt.set(instance.id, (openAt.get(instance.id) ?? 0) - 1);
        const next = queues[region]?.shift();
        if (next === undefined) open[region] = (open[region] ?? 0) - 1;
        else next();
      });
    };
    if ((open[region] ?? 0) < (slots[region] ?? 0)) {
      open[region] = (open[region] ?? 0) + 1;
      start();
    } else queues[region]?.push(start);
  };

  const recordFirstByte = ({ plan, arrivedAtMs }: SimulatedRequest): void => {
    const count = byObjective.get(plan.objectiveMs);
    if (count !== undefined && nowMs - arrivedAtMs <= plan.objectiveMs) count.inTime += 1;
  };

  const forward = (request: SimulatedRequest, peer: ForwardPeer): void => {
    const { from, plan, tried } = request;
    const sentAtMs = nowMs;
    from.windows.begin(plan.service, peer.region);
    const region = REGIONS.indexOf(peer.region);
    at(nowMs + ONE_WAY_MS, () => {
      counts.forwarded += 1;
      if ((open[region] ?? 0) >= (slots[region] ?? 0)) counts.forwardedAboveRoom += 1;
      const second = Math.floor(nowMs / 1_000);
      const bySecond = forwardedBySecond[region];
      if (bySecond !== undefined && second < bySecond.length) {
        bySecond[second] = (bySecond[second] ?? 0) + 1;
      }
      const there = instanceOf.get(peer.instanceId);
      if (there === undefined || OWN_PREFILL_MS + waitMs(region) > plan.objectiveMs) {
        at(nowMs + ONE_WAY_MS, () => {
          from.windows.end(plan.service, peer.region, { kind: 'refused' }, nowMs);
          tried.refusingRegions.add(peer.region);
          place(request);
        });
        return;
      }
      run(region, there, () =>
        at(nowMs + ONE_WAY_MS, () => {
          const objectiveShare = (nowMs - sentAtMs) / plan.objectiveMs;
          from.windows.end(plan.service, peer.region, { kind: 'firstByte', objectiveShare }, nowMs);
          recordFirstByte(request);
        }),
      );
    });
  };

  function place(request: SimulatedRequest): void {
    const { from, plan, tried } = request;
    const { regions } = from;
    if (regions === undefined) return;
    const localFirstByteMs = OWN_PREFILL_MS + waitMs(from.region);
    const triedDestinations: TriedDestinations = tried;
    const choice = chooseRegion({
      isOverMaxWait: false,
      localFirstByteMs,
      objectiveMs: plan.objectiveMs,
      others: regions.options(plan, triedDestinations),
      draw: regions.roomDraw(),
    });
    const peer =
      choice.kind === 'remote' ? regions.pickPeer(choice.region, triedDestinations) : undefined;
    if (peer !== undefined) {
      const count = byObjective.get(plan.objectiveMs);
      if (count !== undefined && tried.refusingRegions.size === 0) count.left += 1;
      forward(request, peer);
    } else if (localFirstByteMs <= plan.objectiveMs) {
      run(from.region, from, () => recordFirstByte(request));
    } else {
      counts.refused += 1;
      const hasRoomElsewhere = slots.some(
        (total, region) => region !== from.region && (open[region] ?? 0) < total * MAX_UTILIZATION,
      );
      if (hasRoomElsewhere) counts.refusedDespiteRoom += 1;
    }
  }

  const capacityPerMs = slots.reduce((sum, total) => sum + total, 0) / MEAN_SERVICE_MS;
  const scheduleArrival = (region: number): void => {
    const wave = (atMs: number): number =>
      1 + load.waveAmplitude * Math.cos(2 * Math.PI * (atMs / WAVE_MS + region / REGIONS.length));
    const meanPerMs = (capacityPerMs * load.demand) / REGIONS.length;
    const peakPerMs = meanPerMs * (1 + load.waveAmplitude);
    // Arrivals at the rate of the peak, of which a share in proportion to the wave is kept.
    const atMs = nowMs - Math.log(1 - arrivalRandom.next()) / peakPerMs;
    if (atMs >= DURATION_MS) return;
    at(atMs, () => {
      scheduleArrival(region);
      const isKept = arrivalRandom.next() * (1 + load.waveAmplitude) < wave(nowMs);
      const index =
        region * load.instancesPerRegion + pickIndex(arrivalRandom, load.instancesPerRegion);
      const plan = plans[pickIndex(arrivalRandom, plans.length)];
      const from = instances[index];
      if (!isKept || from === undefined || plan === undefined) return;
      const count = byObjective.get(plan.objectiveMs);
      if (count !== undefined) count.arrived += 1;
      const tried = { ids: new Set<string>(), refusingRegions: new Set<string>() };
      place({ from, plan, arrivedAtMs: nowMs, tried });
    });
  };

  for (const instance of instances) {
    at(random.next() * REPORT_INTERVAL_MS, () => report(instance));
  }
  REGIONS.forEach((_region, index) => scheduleArrival(index));
  for (let event = events.pop(); event !== undefined; event = events.pop()) {
    if (event.atMs > DURATION_MS + 10_000) break;
    nowMs = event.atMs;
    event.run();
  }

  const changes = forwardedBySecond.flatMap((bySecond, region) =>
    bySecond
      .slice(FILLING_SECONDS)
      .map(
        (count, index) =>
          Math.abs(count - (bySecond[index + FILLING_SECONDS - 1] ?? 0)) /
          (((slots[region] ?? 1) * 1_000) / MEAN_SERVICE_MS),
      ),
  );
  const sums = [...byObjective.values()];
  return {
    ...counts,
    byObjective,
    arrived: sums.reduce((sum, { arrived }) => sum + arrived, 0),
    inTime: sums.reduce((sum, { inTime }) => sum + inTime, 0),
    maxChange: Math.max(...changes),
  };
}
