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

/** What one schedule came to. */
export interface ScheduleResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly history: readonly string[];
  /** Orders that some server ran. */
  readonly runs: number;
  readonly answers: number;
  /** Orders that ran more than once. */
  readonly doubled: number;
  /** Orders of which a caller got an answer. */
  readonly ordersAnswered: number;
  /** Orders without an answer of which the caller knows that they did not run, or that they ran. */
  readonly ordersKnown: number;
  /** Refusals by what they said, those that only hand out a ticket left out. */
  readonly notRun: number;
  readonly ran: number;
  readonly unknown: number;
}

/** Orders in each schedule. */
export const ORDERS = 4;
const MOST_FAULTS = 7;
/** Faults begin within this time, ms. */
export const FAULTS_WITHIN_MS = 5_000;
/** By then every caller has given up and every late message has arrived, ms. */
const SCHEDULE_MS = 60_000;

/** What faults happen to. */
export interface FaultTarget {
  readonly instances: ReadonlyMap<string, { readonly process: SimProcess }>;
  readonly servers: Fleet['servers'];
  replace(name: string, afterMs: number): void;
  tighten(): void;
}

/** Brings one fault about. */
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
  const faults = world.between(0, MOST_FAULTS);
  for (let fault = 0; fault < faults; fault += 1) {
    const atMs = world.between(0, FAULTS_WITHIN_MS);
    world.clock.schedule(atMs, () => drawFault(world, fleet));
  }
  await world.clock.advanceByAsync(SCHEDULE_MS);
}

/** What a schedule leaves out, so that ways that know nothing of it can be compared with. */
export interface ScheduleOptions {
  /** Callers ask instances of barred regions too, and versions bar regions on the way. */
  readonly withBarredRegions: boolean;
}

/** Runs the schedule of `seed` to its end and looks at what came of it. */
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
    const atMs = world.between(0, FAULTS_WITHIN_MS);
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
