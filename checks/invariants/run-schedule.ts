import { placeOrder } from './caller';
import type { Told } from './caller';
import { INSTANCE_REGIONS, startFleet } from './fleet';
import type { Fleet } from './fleet';
import { findViolations } from './invariants';
import { NO_MUTANT } from './mutants';
import type { Mutant } from './mutants';
import { sleep } from './process';
import type { SimProcess } from './process';
import { createWorld } from './world';
import type { World } from './world';

/** Result of one schedule. */
export interface ScheduleResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly history: readonly string[];
  /** Orders that at least one server ran. */
  readonly runs: number;
  readonly answers: number;
  /** Orders that ran more than once. */
  readonly doubled: number;
  /** Orders whose caller received an answer. */
  readonly ordersAnswered: number;
  /** Orders without an answer whose outcome the caller knows. */
  readonly ordersKnown: number;
  /** Refusals by outcome, except those that only issue a ticket. */
  readonly notRun: number;
  readonly ran: number;
  readonly unknown: number;
}

/** Orders in each schedule. */
export const ORDERS = 4;
const MAX_FAULTS = 7;
/** Time in which faults begin, ms. */
export const FAULT_WINDOW_MS = 5_000;
/** Time by which every caller has given up and every delayed message has arrived, ms. */
const SCHEDULE_MS = 60_000;

/** Targets of faults. */
export interface FaultTarget {
  readonly instances: ReadonlyMap<string, { readonly process: SimProcess }>;
  readonly servers: Fleet['servers'];
  replace(name: string, afterMs: number): void;
  tighten(): void;
}

/** Injects one fault. */
function drawFault(world: World, fleet: FaultTarget): void {
  const names = Object.keys(INSTANCE_REGIONS);
  const regions = ['windhoek', 'rundu', 'kolkata'];
  const later = (waitMs: number, then: () => void) =>
    world.clock.schedule(world.clock.monotonicMs() + waitMs, then);
  const fault = world.pick([
    'kill',
    'kill',
    'pause',
    'pause',
    'pause server',
    'cut',
    'cut',
    'tighten',
  ]);
  switch (fault) {
    case 'kill':
      fleet.replace(world.pick(names), world.between(0, 1_500));
      return;
    case 'pause':
    case 'pause server': {
      const process =
        fault === 'pause'
          ? fleet.instances.get(world.pick(names))?.process
          : world.pick(fleet.servers).process;
      if (process === undefined) return;
      const pauseMs = world.between(50, 6_000);
      world.note(`${process.name} sleeps for ${pauseMs} ms`);
      sleep(world.clock, process, pauseMs);
      return;
    }
    case 'cut': {
      const places = world.chance(0.5) ? regions : names;
      const [one, other] = [world.pick(places), world.pick(places)];
      const cutMs = world.between(100, 4_000);
      world.cut(one, other);
      world.note(`${one} and ${other} lose each other for ${cutMs} ms`);
      later(cutMs, () => world.mend(one, other));
      return;
    }
    default:
      world.note('a version that keeps the data at home is published');
      fleet.tighten();
  }
}

/** Draws the faults of a schedule and runs it to its end. */
export async function playOut(world: World, fleet: FaultTarget): Promise<void> {
  const faults = world.between(0, MAX_FAULTS);
  for (let fault = 0; fault < faults; fault += 1) {
    const atMs = world.between(0, FAULT_WINDOW_MS);
    world.clock.schedule(atMs, () => drawFault(world, fleet));
  }
  await world.clock.advanceByAsync(SCHEDULE_MS);
}

/** Parts that a schedule omits, so that variants without support for them can be compared. */
export interface ScheduleOptions {
  /** Callers also use instances of forbidden regions, and new versions forbid regions during the schedule. */
  readonly withBarredRegions: boolean;
}

/** Runs the schedule of `seed` to its end and checks the result. */
export async function runSchedule(
  seed: number,
  mutant: Mutant = NO_MUTANT,
  { withBarredRegions }: ScheduleOptions = { withBarredRegions: true },
): Promise<ScheduleResult> {
  const world = createWorld(seed);
  const fleet = startFleet(world, mutant);
  const told: Told[] = [];
  const mayAsk = (name: string) => withBarredRegions || INSTANCE_REGIONS[name] !== 'kolkata';
  for (let order = 1; order <= ORDERS; order += 1) {
    const atMs = world.between(0, FAULT_WINDOW_MS);
    world.clock.schedule(atMs, () => placeOrder(fleet, `order ${order}`, told, mayAsk));
  }
  await playOut(world, withBarredRegions ? fleet : { ...fleet, tighten: () => {} });

  const outcomes = (outcome: string) =>
    told.filter(
      ({ reply }) =>
        reply.kind === 'refusal' && reply.outcome === outcome && reply.slug !== 'ticket-required',
    ).length;
  const answered = told.filter(({ reply }) => reply.kind === 'answer');
  const answeredOrders = new Set(answered.map(({ order }) => order));
  const lastOutcomes = new Map(
    told.flatMap(({ order, reply }) =>
      reply.kind === 'refusal' ? [[order, reply.outcome] as const] : [],
    ),
  );
  return {
    seed,
    violations: findViolations(fleet, told),
    history: world.history,
    runs: fleet.ledger.length,
    doubled: fleet.ledger.length - new Set(fleet.ledger.map(({ body }) => body)).size,
    answers: answered.length,
    ordersAnswered: answeredOrders.size,
    ordersKnown: [...lastOutcomes].filter(
      ([order, outcome]) => !answeredOrders.has(order) && outcome !== 'unknown',
    ).length,
    notRun: outcomes('notRun'),
    ran: outcomes('ran'),
    unknown: outcomes('unknown'),
  };
}
