import { setTimeout as sleep } from 'node:timers/promises';
import { SOAK_ACCOUNTS } from './accounts';
import { TEST_CONFIGURATION } from '../platform/testing/gateway';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import type { StoreCopy, StoreStandIn } from '../standins/published-store';
import type { SoakInstances } from './instances';
import type { SoakServers } from './servers';

/** One fault, with all that chance decides about it. */
export type Fault =
  | { readonly kind: 'kill' | 'term' | 'hup'; readonly instance: number }
  | { readonly kind: 'pause'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'cutFromStore'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'silenceStore' | 'resetStore'; readonly instance: number }
  | { readonly kind: 'delayStore'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'storeBusy' | 'storeSilent' | 'storeRestored'; readonly forMs: number }
  | { readonly kind: 'forgetHistory' | 'changeRoutes' }
  | { readonly kind: 'replaceServer' | 'restartServer' | 'damageEntry'; readonly server: number }
  | {
      readonly kind: 'limitServer' | 'limitAllServers' | 'changeLimit';
      readonly server: number;
      readonly perSecond: number;
      readonly forMs: number;
    };

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
  'storeRestored',
  'limitServer',
  'limitAllServers',
  'changeLimit',
];
const SHORTEST_MS = 300;
const LONGEST_MS = 4_000;
const DELAY_MS = 400;
/** Limits that servers name, requests a second. */
const LIMITS = [0, 0.25, 1, 4, 20];
/** Time for which a server names limits, ms: the bound holds from 5 s on, in spans of 4 s. */
const SHORTEST_LIMIT_MS = 9_000;
const LONGEST_LIMIT_MS = 13_000;
/** Interval between two changes of a limit that changes, ms. */
const CHANGE_EVERY_MS = 500;
/** Time after the store's return from an older copy in which all is written again, ms. */
const WRITTEN_AGAIN_AFTER_MS = 1_000;

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
    case 'storeRestored':
      return { kind, forMs };
    case 'forgetHistory':
    case 'changeRoutes':
      return { kind };
    case 'replaceServer':
    case 'restartServer':
    case 'damageEntry':
      return { kind, server };
    case 'limitServer':
    case 'limitAllServers':
    case 'changeLimit': {
      const perSecond = LIMITS[pickIndex(random, LIMITS.length)] ?? 1;
      const limitMs = SHORTEST_LIMIT_MS + random.next() * (LONGEST_LIMIT_MS - SHORTEST_LIMIT_MS);
      return { kind, server, perSecond, forMs: limitMs };
    }
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
  /** Publishes again what an older copy may lack. */
  readonly publishAgain: () => void;
  /** What the store held some seconds ago. */
  readonly oldestCopy: () => StoreCopy;
}

/** The routes under test, in a version. */
export function configurationOf(version: number): object {
  return { ...TEST_CONFIGURATION, Version: version, Tenants: SOAK_ACCOUNTS };
}

function setAllLimits(servers: SoakServers, perSecond: number | undefined): void {
  for (let index = 0; index < servers.count; index += 1) servers.setLimit(index, perSecond);
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
    case 'storeRestored':
      store.setMood('busy');
      store.restore(targets.oldestCopy());
      await sleep(fault.forMs / 4);
      store.setMood('good');
      await sleep(WRITTEN_AGAIN_AFTER_MS);
      targets.publishAgain();
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
    case 'limitServer':
      servers.setLimit(fault.server, fault.perSecond);
      await sleep(fault.forMs);
      servers.setLimit(fault.server, undefined);
      return;
    case 'limitAllServers':
      setAllLimits(servers, fault.perSecond);
      await sleep(fault.forMs);
      setAllLimits(servers, undefined);
      return;
    case 'changeLimit':
      for (let spentMs = 0; spentMs < fault.forMs; spentMs += CHANGE_EVERY_MS) {
        servers.setLimit(fault.server, fault.perSecond + ((spentMs / CHANGE_EVERY_MS) % 3));
        await sleep(CHANGE_EVERY_MS);
      }
      servers.setLimit(fault.server, undefined);
      return;
    default:
      fault satisfies never;
  }
}
