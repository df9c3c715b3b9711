import { setTimeout as sleep } from 'node:timers/promises';
import { TEST_CONFIGURATION } from '../platform/testing/gateway';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import type { StoreStandIn } from '../standins/published-store';
import type { SoakInstances } from './instances';
import type { SoakServers } from './servers';

/** One fault, with all that chance decides about it. */
export type Fault =
  | { readonly kind: 'kill' | 'term' | 'hup'; readonly instance: number }
  | { readonly kind: 'pause'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'cutFromStore'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'silenceStore' | 'resetStore'; readonly instance: number }
  | { readonly kind: 'delayStore'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'storeBusy' | 'storeSilent'; readonly forMs: number }
  | { readonly kind: 'forgetHistory' | 'changeRoutes' }
  | { readonly kind: 'replaceServer' | 'restartServer' | 'damageEntry'; readonly server: number };

type Kind = Fault['kind'];

const KINDS: readonly Kind[] = [
  'kill',
  'term',
  'hup',
  'pause',
  'cutFromStore',
  'silenceStore',
  'resetStore',
  'delayStore',
  'storeBusy',
  'storeSilent',
  'forgetHistory',
  'changeRoutes',
  'replaceServer',
  'restartServer',
  'damageEntry',
];
const SHORTEST_MS = 300;
const LONGEST_MS = 4_000;
const DELAY_MS = 400;

/** Draws a fault. */
export function drawFault(random: RandomSource, instances: number, servers: number): Fault {
  const kind = KINDS[pickIndex(random, KINDS.length)] ?? 'kill';
  const instance = pickIndex(random, instances);
  const server = pickIndex(random, servers);
  const forMs = SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS);
  switch (kind) {
    case 'kill':
    case 'term':
    case 'hup':
    case 'silenceStore':
    case 'resetStore':
      return { kind, instance };
    case 'pause':
    case 'cutFromStore':
    case 'delayStore':
      return { kind, instance, forMs };
    case 'storeBusy':
    case 'storeSilent':
      return { kind, forMs };
    case 'forgetHistory':
    case 'changeRoutes':
      return { kind };
    case 'replaceServer':
    case 'restartServer':
    case 'damageEntry':
      return { kind, server };
    default:
      return kind satisfies never;
  }
}

/** What faults are brought about on. */
export interface FaultTargets {
  readonly store: StoreStandIn;
  readonly instances: SoakInstances;
  readonly servers: SoakServers;
  /** Publishes the next version of the routes. */
  readonly changeRoutes: () => void;
}

/** The routes under test, in a version. */
export function configurationOf(version: number): object {
  return { ...TEST_CONFIGURATION, Version: version };
}

/** Brings one fault about, and ends it. */
export async function bringAbout(fault: Fault, targets: FaultTargets): Promise<void> {
  const { store, instances, servers } = targets;
  switch (fault.kind) {
    case 'kill':
      instances.signal(fault.instance, 'SIGKILL');
      return;
    case 'term':
      instances.signal(fault.instance, 'SIGTERM');
      return;
    case 'hup':
      instances.signal(fault.instance, 'SIGHUP');
      return;
    case 'pause':
      instances.signal(fault.instance, 'SIGSTOP');
      await sleep(fault.forMs);
      instances.signal(fault.instance, 'SIGCONT');
      return;
    case 'cutFromStore':
      instances.storeWay(fault.instance).freeze();
      await sleep(fault.forMs);
      instances.storeWay(fault.instance).thaw();
      return;
    case 'silenceStore':
      instances.storeWay(fault.instance).silenceOpen();
      return;
    case 'resetStore':
      instances.storeWay(fault.instance).resetOpen();
      return;
    case 'delayStore':
      instances.storeWay(fault.instance).setDelayMs(DELAY_MS);
      await sleep(fault.forMs);
      instances.storeWay(fault.instance).setDelayMs(0);
      return;
    case 'storeBusy':
    case 'storeSilent':
      store.setMood(fault.kind === 'storeBusy' ? 'busy' : 'silent');
      await sleep(fault.forMs);
      store.setMood('good');
      return;
    case 'forgetHistory':
      store.compact();
      return;
    case 'changeRoutes':
      targets.changeRoutes();
      return;
    case 'replaceServer':
      await servers.replace(fault.server);
      return;
    case 'restartServer':
      await servers.startAgain(fault.server);
      return;
    case 'damageEntry':
      servers.damageEntry(fault.server);
      return;
    default:
      fault satisfies never;
  }
}
