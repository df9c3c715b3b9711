import { setTimeout as sleep } from 'node:timers/promises';
import type { EndlessShape } from '../standins/endless-answers';
import type { StoreCopy, StoreStandIn } from '../standins/published-store';
import type { Brittleness } from './brittleness';
import type { CrashingParts } from './crashing-parts';
import type { SoakInstances } from './instances';
import type { DrawnLoss, Losses } from './losses';
import type { CutMode, SoakLinks } from './links';
import type { Leaving } from './server-versions';
import type { SoakServers } from './servers';
import type { StoreTroubles } from './store-troubles';
import type { SteadyCallers } from './steady-callers';

/** A fault with its randomly drawn parameters. */
export type Fault =
  | { readonly kind: 'kill' | 'term' | 'hup'; readonly instance: number }
  | { readonly kind: 'pause'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'cutFromStore'; readonly instance: number; readonly forMs: number }
  /** Instances lose their links to all servers at the same moment. */
  | {
      readonly kind: 'cutLinks';
      readonly instances: readonly number[];
      readonly mode: CutMode;
      readonly forMs: number;
    }
  | { readonly kind: 'silenceStore' | 'resetStore'; readonly instance: number }
  | { readonly kind: 'delayStore'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'storeBusy' | 'storeSilent' | 'storeRestored'; readonly forMs: number }
  | { readonly kind: 'forgetHistory' | 'changeRoutes' }
  | { readonly kind: 'replaceServer' | 'restartServer' | 'damageEntry'; readonly server: number }
  /** All instances, or all of one region, are ended several times. */
  | ({ readonly kind: 'killAll' | 'stopAll' } & DrawnLoss)
  /** Servers are replaced by such of another software version, one after the other. */
  | {
      readonly kind: 'rollout';
      readonly servers: readonly number[];
      /** Index of the software version; undefined for the one after that of each server. */
      readonly to: number | undefined;
      readonly leaving: Leaving;
      /** Time in which the servers are replaced; 0 for all at the same moment. */
      readonly forMs: number;
    }
  /** All servers fail if they reject more than a few requests within a second. */
  | { readonly kind: 'brittle'; readonly forMs: number }
  /** Servers crash on a part of prompts, and requests with it are sent. */
  | { readonly kind: 'crashingPart'; readonly forMs: number }
  /** Servers send nothing for some time, and then go on. */
  | { readonly kind: 'standStill'; readonly servers: readonly number[]; readonly forMs: number }
  /** Servers send nothing any more, and are replaced some time later. */
  | { readonly kind: 'fallSilent'; readonly servers: readonly number[]; readonly forMs: number }
  /** A server answers without end for some time. */
  | {
      readonly kind: 'endless';
      readonly server: number;
      readonly shape: EndlessShape;
      readonly forMs: number;
    }
  /** A server states its departure in answers, and announces it some time later. */
  | { readonly kind: 'departure'; readonly server: number; readonly forMs: number }
  /** Servers refuse all requests; a pause of 0 is not stated. */
  | {
      readonly kind: 'refuse' | 'refuseAll';
      readonly server: number;
      readonly pauseMs: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'limitServer' | 'limitAllServers' | 'changeLimit';
      readonly server: number;
      readonly perSecond: number;
      readonly forMs: number;
    };

/** Kind of a fault. */
export type FaultKind = Fault['kind'];

export const FAULT_KINDS = [
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
  'departure',
  'refuse',
  'refuseAll',
  'cutLinks',
  'brittle',
  'rollout',
  'crashingPart',
  'standStill',
  'fallSilent',
  'endless',
  'killAll',
  'stopAll',
] as const satisfies readonly FaultKind[];
const DELAY_MS = 400;
/** Time before servers stand still from which requests are sent at a steady rate, ms: streams are open then. */
const ASKED_BEFORE_MS = 300;
/** Interval between two changes of a limit that changes, ms. */
const CHANGE_INTERVAL_MS = 500;
/** Time after the store was restored from an older copy until everything is published again, ms. */
const WRITTEN_AGAIN_AFTER_MS = 1_000;

/** Targets of faults. */
export interface FaultTargets {
  readonly store: StoreStandIn;
  readonly instances: SoakInstances;
  readonly servers: SoakServers;
  readonly links: SoakLinks;
  readonly brittleness: Brittleness;
  readonly crashingParts: CrashingParts;
  readonly steadyCallers: SteadyCallers;
  readonly losses: Pick<Losses, 'play'>;
  readonly storeTroubles: Pick<StoreTroubles, 'during'>;
  /** Publishes the next version of the routes. */
  readonly changeRoutes: () => void;
  /** Publishes everything again, since an older copy may lack some of it. */
  readonly publishAgain: () => void;
  /** Returns a copy of the store's contents of some seconds ago. */
  readonly oldestCopy: () => StoreCopy;
}

function forAll({ count }: SoakServers, apply: (index: number) => void): void {
  for (let index = 0; index < count; index += 1) apply(index);
}

/** Begins a condition, and ends it after some time. */
async function during(forMs: number, setActive: (isActive: boolean) => void): Promise<void> {
  setActive(true);
  await sleep(forMs);
  setActive(false);
}

/** Applies something beside requests at a steady rate, which begin a moment earlier. */
async function beside(
  { during: sendDuring }: SteadyCallers,
  forMs: number,
  apply: () => Promise<void>,
): Promise<void> {
  const sent = sendDuring(ASKED_BEFORE_MS + forMs);
  await sleep(ASKED_BEFORE_MS);
  await Promise.all([sent, apply()]);
}

/** Whether a fault keeps instances from reading the whole store, for its time or, if it loses history, for good. */
function storeTroubleOf({ kind }: Fault): 'none' | 'forItsTime' | 'losesHistory' {
  switch (kind) {
    case 'cutFromStore':
    case 'silenceStore':
    case 'resetStore':
    case 'storeBusy':
    case 'storeSilent':
    case 'damageEntry':
      return 'forItsTime';
    case 'storeRestored':
    case 'forgetHistory':
      return 'losesHistory';
    default:
      return 'none';
  }
}

/** Injects a fault, and resolves after its end. */
export async function injectFault(fault: Fault, targets: FaultTargets): Promise<void> {
  const trouble = storeTroubleOf(fault);
  const ended = applyFault(fault, targets);
  await (trouble === 'none'
    ? ended
    : targets.storeTroubles.during(ended, trouble === 'losesHistory'));
}

async function applyFault(fault: Fault, targets: FaultTargets): Promise<void> {
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
      instances.storeProxy(fault.instance).freeze();
      await sleep(fault.forMs);
      instances.storeProxy(fault.instance).thaw();
      return;
    case 'cutLinks':
      await Promise.all(
        fault.instances.map((instance) => targets.links.cut(instance, fault.mode, fault.forMs)),
      );
      return;
    case 'silenceStore':
      instances.storeProxy(fault.instance).silenceOpen();
      return;
    case 'resetStore':
      instances.storeProxy(fault.instance).resetOpen();
      return;
    case 'delayStore':
      instances.storeProxy(fault.instance).setDelayMs(DELAY_MS);
      await sleep(fault.forMs);
      instances.storeProxy(fault.instance).setDelayMs(0);
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
      await servers.restartInPlace(fault.server);
      return;
    case 'damageEntry':
      servers.damageEntry(fault.server);
      return;
    case 'killAll':
      await targets.losses.play(fault, 'SIGKILL');
      return;
    case 'stopAll':
      await targets.losses.play(fault, 'SIGTERM');
      return;
    case 'rollout':
      for (const server of fault.servers) {
        await servers.changeVersion(server, { to: fault.to, leaving: fault.leaving });
        await sleep(fault.forMs / fault.servers.length);
      }
      return;
    case 'standStill':
      await beside(targets.steadyCallers, fault.forMs, () =>
        servers.standStill(fault.servers, fault.forMs),
      );
      return;
    case 'fallSilent':
      await beside(targets.steadyCallers, fault.forMs, async () => {
        await Promise.all(fault.servers.map((server) => servers.fallSilent(server, fault.forMs)));
      });
      return;
    case 'endless':
      await beside(targets.steadyCallers, fault.forMs, () =>
        servers.answerEndlessly(fault.server, fault.shape, fault.forMs),
      );
      return;
    case 'departure':
      servers.stateDeparture(fault.server);
      await sleep(fault.forMs);
      await servers.replace(fault.server);
      return;
    case 'refuse':
      await during(fault.forMs, (isActive) =>
        servers.refuse(fault.server, isActive ? fault.pauseMs : undefined),
      );
      return;
    case 'refuseAll':
      await during(fault.forMs, (isActive) =>
        forAll(servers, (index) => servers.refuse(index, isActive ? fault.pauseMs : undefined)),
      );
      return;
    case 'crashingPart':
      await targets.crashingParts.during(fault.forMs);
      return;
    case 'brittle':
      await targets.brittleness.during(fault.forMs);
      return;
    case 'limitServer':
      await during(fault.forMs, (isActive) =>
        servers.setLimit(fault.server, isActive ? fault.perSecond : undefined),
      );
      return;
    case 'limitAllServers':
      await during(fault.forMs, (isActive) =>
        forAll(servers, (index) => servers.setLimit(index, isActive ? fault.perSecond : undefined)),
      );
      return;
    case 'changeLimit':
      for (let spentMs = 0; spentMs < fault.forMs; spentMs += CHANGE_INTERVAL_MS) {
        servers.setLimit(fault.server, fault.perSecond + ((spentMs / CHANGE_INTERVAL_MS) % 3));
        await sleep(CHANGE_INTERVAL_MS);
      }
      servers.setLimit(fault.server, undefined);
      return;
    default:
      fault satisfies never;
  }
}
