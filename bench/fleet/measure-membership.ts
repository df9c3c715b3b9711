import process from 'node:process';
import { MEMBERSHIP_EVENTS } from '../../src/core/membership';
import { createVirtualFleet, startEvenFleet } from '../../src/testing/virtual-fleet';
import type { VirtualFleet } from '../../src/testing/virtual-fleet';

/** Membership on a virtual network: bytes, processor time, detection and false suspicions, by size. */

/** What one size gave. */
export interface MembershipFigures {
  readonly instances: number;
  /** Until all knew all, started at once from three seeds, ms. */
  readonly joinedMs: number;
  readonly bytesPerSecond: number;
  readonly mostBytesPerSecond: number;
  readonly exchangesPerSecond: number;
  /** Real processor time over simulated time, a node's share, % of a core. */
  readonly corePercent: number;
  /** From a silent crash until nobody gives it work, and until all hold it for dead, ms. */
  readonly suspectedMs: number;
  readonly deadMs: number;
  /** Suspicions and deaths told of instances that paused for 1 s and for 2 s, and of others during it. */
  readonly suspicionsAt1s: number;
  readonly suspicionsAt2s: number;
  readonly falseDeaths: number;
}

const STEP_MS = 100;
const STEADY_S = 30;
const PAUSED_SHARE = 0.1;

const all = (fleet: VirtualFleet) => [...fleet.instances.values()];

async function untilAll(fleet: VirtualFleet, holds: () => boolean): Promise<number> {
  const startMs = fleet.clock.monotonicMs();
  while (!holds() && fleet.clock.monotonicMs() - startMs < 60_000) {
    await fleet.clock.runFor(STEP_MS);
  }
  return fleet.clock.monotonicMs() - startMs;
}

function countEvents(fleet: VirtualFleet, event: { readonly id: number }): number {
  return all(fleet).reduce(
    (sum, { logger }) =>
      sum + logger.lines.filter((line) => line.definition.id === event.id).length,
    0,
  );
}

async function measureSteady(fleet: VirtualFleet) {
  const before = new Map(all(fleet).map((each) => [each.instanceId, each.sentBytes()]));
  const callsBefore = fleet.callCount();
  const cpuBefore = process.cpuUsage();
  for (let second = 0; second < STEADY_S; second += 1) {
    for (const { says } of all(fleet)) says.inFlightRequests = (says.inFlightRequests + 7) % 50;
    await fleet.clock.runFor(1_000);
  }
  const cpu = process.cpuUsage(cpuBefore);
  const rates = all(fleet).map(
    (each) => (each.sentBytes() - (before.get(each.instanceId) ?? 0)) / STEADY_S,
  );
  const count = rates.length;
  return {
    bytesPerSecond: rates.reduce((sum, rate) => sum + rate, 0) / count,
    mostBytesPerSecond: Math.max(...rates),
    exchangesPerSecond: (fleet.callCount() - callsBefore) / STEADY_S / count,
    corePercent: ((cpu.user + cpu.system) / 1e6 / STEADY_S / count) * 100,
  };
}

async function suspicionsAtPause(fleet: VirtualFleet, pauseMs: number): Promise<number> {
  const before = countEvents(fleet, MEMBERSHIP_EVENTS.peerSuspected);
  const paused = all(fleet).filter((_, index) => index % Math.round(1 / PAUSED_SHARE) === 3);
  paused.forEach(({ port }) => port.pause());
  await fleet.clock.runFor(pauseMs);
  paused.forEach(({ port }) => port.wake());
  await fleet.clock.runFor(15_000);
  return countEvents(fleet, MEMBERSHIP_EVENTS.peerSuspected) - before;
}

async function measureDetection(fleet: VirtualFleet) {
  const victim = 'i-5';
  await fleet.crash(victim);
  const statuses = () => all(fleet).map(({ instanceId }) => fleet.seen(instanceId, victim)?.status);
  const suspectedMs = await untilAll(fleet, () => statuses().every((each) => each !== 'alive'));
  const restMs = await untilAll(fleet, () => statuses().every((each) => each === 'dead'));
  return { suspectedMs, deadMs: suspectedMs + restMs };
}

/** Runs one size. */
export async function measureMembership(instances: number): Promise<MembershipFigures> {
  const fleet = createVirtualFleet(1);
  startEvenFleet(fleet, instances, instances >= 100 ? 8 : 3);
  const joinedMs = await untilAll(fleet, () =>
    all(fleet).every(({ membership }) => membership.usablePeers().length === instances - 1),
  );
  await fleet.clock.runFor(20_000);
  const steady = await measureSteady(fleet);
  const suspicionsAt1s = await suspicionsAtPause(fleet, 1_000);
  const suspicionsAt2s = await suspicionsAtPause(fleet, 2_000);
  const falseDeaths = countEvents(fleet, MEMBERSHIP_EVENTS.peerDown);
  const detection = await measureDetection(fleet);
  await fleet[Symbol.asyncDispose]();
  return {
    instances,
    joinedMs,
    ...steady,
    ...detection,
    suspicionsAt1s,
    suspicionsAt2s,
    falseDeaths,
  };
}
