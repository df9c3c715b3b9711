import { compileConfiguration, configurationSchema } from '../../src/core/configuration';
import type { CompiledConfiguration, ConfigurationStore } from '../../src/core/configuration';
import type { MembershipView } from '../../src/core/membership';
import type { ForwardRequest } from '../../src/gen/forward_pb';
import type { Mutant } from './mutants';
import { createOrderServer } from './order-server';
import type { LedgerLine, OrderServer } from './order-server';
import { createSimProcess } from './process';
import type { SimProcess } from './process';
import { startSimInstance } from './sim-instance';
import type { SimInstance } from './sim-instance';
import { readEnd } from './sim-sender';
import type { FirstByte, ReadEnd } from './sim-sender';
import type { World } from './world';

/** A request in transit from an instance, with the configuration version in force there. */
export interface SendNote extends FirstByte {
  readonly from: SimProcess;
  readonly configuration: CompiledConfiguration;
}

/** A request forwarded from one instance to another. */
export interface ForwardNote {
  readonly from: SimProcess;
  readonly to: SimProcess;
  readonly message: ForwardRequest;
  readonly configuration: CompiledConfiguration;
}

/** Instances and servers of one schedule, and the records that the checks read. */
export interface Fleet {
  readonly world: World;
  readonly mutant: Mutant;
  readonly instances: Map<string, SimInstance>;
  readonly servers: readonly OrderServer[];
  readonly ledger: readonly LedgerLine[];
  readonly firstBytes: readonly SendNote[];
  readonly forwards: readonly ForwardNote[];
  readonly faults: readonly string[];
  /** Maximum bytes of answers that each instance holds. */
  readonly heldBytes: number;
  readonly readEnd: ReadEnd;
  readonly emptyStore: ConfigurationStore;
  readonly emptyMembership: MembershipView;
  configurationOf(process: SimProcess): CompiledConfiguration;
  secretsOf(process: SimProcess): { ticketKey: Uint8Array; ticketIncarnation: number };
  noteFirstByte(note: SendNote): void;
  noteForward(note: ForwardNote): void;
  noteFault(text: string): void;
  /** Kills an instance, and later starts another one with the same name. */
  replace(name: string, afterMs: number): void;
  /** Publishes a version to one instance after another that restricts the dealer's data to its home region. */
  tighten(): void;
}

/** Instances by name, with their regions. Data of the dealer must never be in Kolkata. */
export const INSTANCE_REGIONS: Readonly<Record<string, string>> = {
  'windhoek-a': 'windhoek',
  'windhoek-b': 'windhoek',
  'rundu-a': 'rundu',
  'kolkata-a': 'kolkata',
};

/** The simulated caller. */
export const DEALER = 'dealer';
/** Validity of its tickets, ms. */
export const TICKET_VALID_MS = 4_000;

function describe(version: number, regions: readonly string[]): CompiledConfiguration {
  const all = ['windhoek', 'rundu', 'kolkata'];
  return compileConfiguration(
    configurationSchema.parse({
      version,
      deployment: 'omaruru',
      regions: all.map((name) => ({ name, failureDomains: [`${name}-a`, `${name}-b`] })),
      services: [
        {
          kind: 'plain',
          name: 'orders',
          regions: all,
          nonRepeatable: [{ method: 'POST', pathPrefix: '/place' }],
          notRunStatuses: [429],
          ticketValidMs: TICKET_VALID_MS,
        },
      ],
      backendServers: [],
      callers: [{ id: DEALER, keySha256: '0'.repeat(64), regions }],
    }),
  );
}

const OPEN = describe(1, ['windhoek', 'rundu']);
const TIGHTENED = describe(2, ['windhoek']);

const UNUSED = (): never => {
  throw new Error('The searched world has no use for this.');
};

/** Creates the fleet of one schedule. */
export function startFleet(world: World, mutant: Mutant): Fleet {
  const ledger: LedgerLine[] = [];
  const firstBytes: SendNote[] = [];
  const forwards: ForwardNote[] = [];
  const faults: string[] = [];
  const instances = new Map<string, SimInstance>();
  let incarnations = 0;
  let inForce = OPEN;
  const trouble = world.chance(0.5) ? world.draw() * 0.5 : 0;

  const servers = ['windhoek', 'rundu', 'kolkata'].map((region) =>
    createOrderServer(
      world,
      createSimProcess(world.clock, `server-${region}`, region, 1),
      ledger,
      trouble,
    ),
  );

  const start = (name: string) => {
    incarnations += 1;
    const region = INSTANCE_REGIONS[name] ?? '';
    const process = createSimProcess(world.clock, name, region, incarnations);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two refer to each other
    instances.set(name, startSimInstance(fleet, process));
    world.note(`${name} starts as process ${incarnations}`);
  };

  const fleet: Fleet = {
    world,
    mutant,
    instances,
    servers,
    ledger,
    firstBytes,
    forwards,
    faults,
    heldBytes: world.chance(0.3) ? 30 : 10_000,
    readEnd,
    emptyStore: {
      current: () => inForce,
      currentText: UNUSED,
      currentImage: UNUSED,
      offer: UNUSED,
      onChange: UNUSED,
    },
    emptyMembership: {
      self: UNUSED,
      members: UNUSED,
      usablePeers: UNUSED,
    },
    configurationOf: () => inForce,
    secretsOf: ({ name, incarnation }) =>
      mutant.keepsSecrets === true
        ? { ticketKey: Buffer.from(name), ticketIncarnation: 1 }
        : { ticketKey: Buffer.from(`${name} ${incarnation}`), ticketIncarnation: incarnation },
    noteFirstByte: (note) => firstBytes.push(note),
    noteForward: (note) => forwards.push(note),
    noteFault: (text) => faults.push(text),
    replace(name, afterMs) {
      instances.get(name)?.process.kill();
      instances.delete(name);
      world.note(`${name} is killed`);
      world.clock.schedule(world.clock.monotonicMs() + afterMs, () => start(name));
    },
    tighten() {
      inForce = TIGHTENED;
      for (const instance of instances.values()) {
        const atMs = world.clock.monotonicMs() + world.between(0, 800);
        instance.process.clock.schedule(atMs, () => {
          instance.configuration = TIGHTENED;
          world.note(`${instance.process.name} has version 2 in force`);
        });
      }
    },
  };
  for (const name of Object.keys(INSTANCE_REGIONS)) start(name);
  return fleet;
}
