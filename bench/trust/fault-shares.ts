import { NO_MUTANT } from '../../checks/invariants/mutants';
import {
  ORDERS,
  FAULT_WINDOW_MS,
  playOut,
  runSchedule,
} from '../../checks/invariants/run-schedule';
import { createSimProcess } from '../../checks/invariants/process';
import { createWorld } from '../../checks/invariants/world';
import { startNaiveFleet } from './naive-fleet';
import type { NaiveReply, NaiveWay } from './naive-fleet';

/** What became of the orders of many schedules, in one way of placing them. */
export interface FaultShares {
  readonly way: string;
  readonly orders: number;
  /** Orders that some server ran more than once. */
  readonly doubled: number;
  /** Orders of which the caller got an answer. */
  readonly answered: number;
  /** Callers told `notRun` of a call that ran, answers of another order, and the like. */
  readonly wrongAnswers: number;
  /** Orders without an answer of which the caller knows whether they ran. */
  readonly known: number;
  /** Orders of which the caller never learns whether they ran. */
  readonly unknown: number;
  /** Of the orders without an answer, the share of which the caller never learns. */
  readonly unknownShare: number;
}

const PATIENCE_MS = [300, 4_000] as const;
const MAX_REQUESTS = 10;

async function naiveSchedule(seed: number, way: NaiveWay) {
  const world = createWorld(seed);
  const fleet = startNaiveFleet(world, way);
  const answered = new Set<string>();

  const ask = (order: string, requests: number): void => {
    if (requests > MAX_REQUESTS) return;
    const caller = createSimProcess(world.clock, `caller of ${order}`, 'windhoek', 1);
    const names = [...fleet.instances.keys()].filter((name) => name !== 'kolkata-a');
    const instance = names.length === 0 ? undefined : fleet.instances.get(world.pick(names));
    let settled = false;
    const again = () => {
      settled = true;
      world.clock.schedule(world.clock.monotonicMs() + world.between(1, 200), () =>
        ask(order, requests + 1),
      );
    };
    world.clock.schedule(world.clock.monotonicMs() + world.between(...PATIENCE_MS), () => {
      if (!settled) again();
    });
    const onReply = ({ kind }: NaiveReply) => {
      if (settled) return;
      if (kind === 'error') {
        again();
        return;
      }
      settled = true;
      answered.add(order);
    };
    if (instance === undefined) return;
    world.carry(caller, instance.process, () =>
      instance.receive(order, (reply) => {
        world.carry(instance.process, caller, () => onReply(reply));
      }),
    );
  };
  for (let order = 1; order <= ORDERS; order += 1) {
    world.clock.schedule(world.between(0, FAULT_WINDOW_MS), () => ask(`order ${order}`, 1));
  }
  await playOut(world, fleet);
  const runs = new Map<string, number>();
  for (const { body } of fleet.ledger) runs.set(body, (runs.get(body) ?? 0) + 1);
  return { doubled: [...runs.values()].filter((count) => count > 1).length, answered };
}

function toShares(
  way: string,
  schedules: number,
  counts: Pick<FaultShares, 'doubled' | 'answered' | 'known' | 'wrongAnswers'>,
): FaultShares {
  const orders = schedules * ORDERS;
  const unknown = orders - counts.answered - counts.known;
  const refused = counts.known + unknown;
  const unknownShare = refused === 0 ? 0 : Number((unknown / refused).toFixed(3));
  return { way, orders, ...counts, unknown, unknownShare };
}

/** Many schedules in a naive way. A failure there says nothing of what ran. */
export async function naiveShares(way: NaiveWay, schedules: number): Promise<FaultShares> {
  let doubled = 0;
  let answered = 0;
  for (let seed = 1; seed <= schedules; seed += 1) {
    const result = await naiveSchedule(seed, way);
    doubled += result.doubled;
    answered += result.answered.size;
  }
  return toShares(way, schedules, { doubled, answered, known: 0, wrongAnswers: 0 });
}

/** Many schedules with tickets. */
export async function ticketShares(schedules: number): Promise<FaultShares> {
  let wrongAnswers = 0;
  let answered = 0;
  let known = 0;
  let doubled = 0;
  for (let seed = 1; seed <= schedules; seed += 1) {
    const result = await runSchedule(seed, NO_MUTANT, { withBarredRegions: false });
    wrongAnswers += result.violations.length;
    doubled += result.doubled;
    answered += result.ordersAnswered;
    known += result.ordersKnown;
  }
  const counts = { doubled, answered, known, wrongAnswers };
  return toShares('one-use tickets (used)', schedules, counts);
}
