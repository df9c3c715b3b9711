import { INSTANCE_REGIONS } from '../../checks/invariants/fleet';
import type { LedgerLine, OrderServer } from '../../checks/invariants/order-server';
import { createOrderServer } from '../../checks/invariants/order-server';
import { createSimProcess } from '../../checks/invariants/process';
import type { SimProcess } from '../../checks/invariants/process';
import type { FaultTarget } from '../../checks/invariants/run-schedule';
import type { World } from '../../checks/invariants/world';

/** The two usual ways to place orders without tickets, in the same world of faults. */
export type NaiveWay = 'retry on error' | 'caller key, owner by hashing';

/** What an instance sends back; both ways tell a failure from an answer and no more. */
export type NaiveReply = { readonly kind: 'answer' } | { readonly kind: 'error' };

/** An instance of a naive way. */
export interface NaiveInstance {
  readonly process: SimProcess;
  receive(order: string, reply: (reply: NaiveReply) => void): void;
  /** Runs an order that another instance hands over as to its owner. */
  run(order: string): Promise<NaiveReply>;
}

/** The fleet of a naive way. */
export interface NaiveFleet extends FaultTarget {
  readonly instances: ReadonlyMap<string, NaiveInstance>;
  readonly ledger: readonly LedgerLine[];
}

const SEND_TIMEOUT_MS = 1_500;
const MAX_ATTEMPTS = 3;
const ALLOWED_REGIONS = ['windhoek', 'rundu'];

/** Sends an order to one server and waits. */
function sendOnce(
  world: World,
  from: SimProcess,
  server: OrderServer,
  order: string,
): Promise<NaiveReply> {
  return new Promise((resolve) => {
    const { clock } = from;
    clock.schedule(clock.monotonicMs() + SEND_TIMEOUT_MS, () => resolve({ kind: 'error' }));
    const lost = () => {
      if (world.chance(0.5)) {
        clock.schedule(clock.monotonicMs() + 50, () => resolve({ kind: 'error' }));
      }
    };
    const arrive = () =>
      server.receive(order, order, ({ kind }) => {
        const reply: NaiveReply = { kind: kind === 'answer' ? 'answer' : 'error' };
        world.carry(server.process, from, () => resolve(reply), { lost });
      });
    world.carry(from, server.process, arrive, { lost });
  });
}

/** The place of a name for a key; the highest owns it (rendezvous hashing). */
function weight(name: string, key: string): number {
  let sum = 7;
  for (const letter of name + key) sum = (sum * 31 + letter.charCodeAt(0)) % 1_000_003;
  return sum;
}

/** Starts a fleet of instances that work in a naive way. */
export function startNaiveFleet(world: World, way: NaiveWay): NaiveFleet {
  const ledger: LedgerLine[] = [];
  const trouble = world.chance(0.5) ? world.draw() * 0.5 : 0;
  const servers = ALLOWED_REGIONS.map((region) =>
    createOrderServer(
      world,
      createSimProcess(world.clock, `server-${region}`, region, 1),
      ledger,
      trouble,
    ),
  );
  const instances = new Map<string, NaiveInstance>();
  let starts = 0;

  const retrying = async (process: SimProcess, order: string): Promise<NaiveReply> => {
    for (let tries = 1; tries < MAX_ATTEMPTS; tries += 1) {
      const reply = await sendOnce(world, process, world.pick(servers), order);
      if (reply.kind === 'answer') return reply;
    }
    return sendOnce(world, process, world.pick(servers), order);
  };

  const start = (name: string) => {
    starts += 1;
    const process = createSimProcess(world.clock, name, INSTANCE_REGIONS[name] ?? '', starts);
    const byKey = new Map<string, Promise<NaiveReply>>();
    const believed = new Set<string>();

    /** What this instance takes for alive; it learns of a change only after a while. */
    const members = () => {
      for (const known of Object.keys(INSTANCE_REGIONS)) {
        if (believed.has(known) === instances.has(known)) continue;
        if (believed.size > 0 && !world.chance(0.5)) continue;
        if (instances.has(known)) believed.add(known);
        else believed.delete(known);
      }
      return [...believed].filter((known) =>
        ALLOWED_REGIONS.includes(INSTANCE_REGIONS[known] ?? ''),
      );
    };

    const ownRun = (order: string): Promise<NaiveReply> => {
      const known = byKey.get(order);
      if (known !== undefined) return known;
      const run = sendOnce(world, process, world.pick(servers), order);
      byKey.set(order, run);
      return run;
    };

    const atOwner = (order: string, reply: (reply: NaiveReply) => void) => {
      const [owner] = members().sort((left, right) => weight(right, order) - weight(left, order));
      const instance = owner === undefined ? undefined : instances.get(owner);
      if (owner === name || instance === undefined) {
        void ownRun(order).then(reply);
        return;
      }
      world.carry(process, instance.process, () => {
        // Whoever gets it from another runs it, or requests could go in circles between two views.
        instance.run(order).then(
          (result) => {
            world.carry(instance.process, process, () => reply(result));
          },
          () => {},
        );
      });
    };

    const instance: NaiveInstance = {
      process,
      run: ownRun,
      receive(order, reply) {
        if (way === 'retry on error') void retrying(process, order).then(reply);
        else atOwner(order, reply);
      },
    };
    instances.set(name, instance);
  };
  for (const name of Object.keys(INSTANCE_REGIONS)) start(name);

  return {
    instances,
    servers,
    ledger,
    replace(name, afterMs) {
      instances.get(name)?.process.kill();
      instances.delete(name);
      world.clock.schedule(world.clock.monotonicMs() + afterMs, () => start(name));
    },
    tighten() {},
  };
}
