import { setTimeout as sleep } from 'node:timers/promises';
import { regionOf } from '../platform/testing/process-settings';
import { openFaultProxy } from '../standins/fault-proxy';
import type { FaultProxy } from '../standins/fault-proxy';
import type { ChangeValue } from '../standins/published-store';
import type { LinkCut } from './types';

/** Way in which an instance loses its links to all backend servers. */
export const CUT_MODES = ['reset', 'hang', 'newOnesRefused'] as const;
export type CutMode = (typeof CUT_MODES)[number];

/** Links between instances and backend servers, one for each pair, which can be cut for single instances. */
export interface SoakLinks extends AsyncDisposable {
  /** Cuts that have ended, with their times. */
  readonly cuts: readonly LinkCut[];
  /** Opens a link from each instance to a server; they last until the result is disposed of. */
  open(serverAddress: string): Promise<AsyncDisposable>;
  /** Returns how an instance sees the items of the store: it reaches each server by its link. */
  viewOf(instance: number): ChangeValue;
  /** Cuts an instance off from all servers for some time. */
  cut(instance: number, mode: CutMode, forMs: number): Promise<void>;
}

/** Maximum share of instances that are cut off at the same time, and one a region; their callers need the others. */
const MAX_CUT_SHARE = 1 / 3;
const SERVER_PREFIX = 'servers/';

function applyCut(link: FaultProxy, mode: CutMode): void {
  switch (mode) {
    case 'reset':
      link.refuse();
      link.resetOpen();
      return;
    case 'hang':
      link.freeze();
      return;
    case 'newOnesRefused':
      link.refuse();
      return;
    default:
      mode satisfies never;
  }
}

function restore(link: FaultProxy): void {
  link.accept();
  link.thaw();
}

/** Creates links for a number of instances; none is open yet. */
export function createSoakLinks(instances: number): SoakLinks {
  const maxCutOff = Math.max(1, Math.floor(instances * MAX_CUT_SHARE));
  /** Links of all instances to each server that is open, by its address. */
  const linksTo = new Map<string, readonly FaultProxy[]>();
  /** Modes of the cuts in progress, by instance. */
  const modes = new Map<number, CutMode>();
  const cuts: LinkCut[] = [];

  const linksOf = (instance: number): readonly FaultProxy[] =>
    [...linksTo.values()].flatMap((links) => links.slice(instance, instance + 1));

  const close = async (serverAddress: string): Promise<void> => {
    const links = linksTo.get(serverAddress) ?? [];
    linksTo.delete(serverAddress);
    await Promise.all(links.map((link) => link[Symbol.asyncDispose]()));
  };

  return {
    cuts,
    async open(serverAddress) {
      const links: FaultProxy[] = [];
      for (let instance = 0; instance < instances; instance += 1) {
        const link = await openFaultProxy(serverAddress);
        links.push(link);
      }
      linksTo.set(serverAddress, links);
      for (const [instance, mode] of modes) {
        const link = links[instance];
        if (link !== undefined) applyCut(link, mode);
      }
      return { [Symbol.asyncDispose]: () => close(serverAddress) };
    },
    viewOf: (instance) => (key, value) => {
      if (!key.startsWith(SERVER_PREFIX) || typeof value !== 'string') return value;
      let text = Buffer.from(value, 'base64').toString();
      for (const [address, links] of linksTo) {
        text = text.replace(`"${address}"`, `"${links[instance]?.address ?? address}"`);
      }
      return Buffer.from(text).toString('base64');
    },
    async cut(instance, mode, forMs) {
      const isInstanceOfSameRegion = (other: number) => regionOf(other) === regionOf(instance);
      if (modes.size >= maxCutOff || [...modes.keys()].some(isInstanceOfSameRegion)) return;
      const fromMs = Date.now();
      modes.set(instance, mode);
      linksOf(instance).forEach((link) => applyCut(link, mode));
      await sleep(forMs);
      modes.delete(instance);
      linksOf(instance).forEach(restore);
      cuts.push({ instance, mode, fromMs, toMs: Date.now() });
    },
    async [Symbol.asyncDispose]() {
      await Promise.all([...linksTo.keys()].map(close));
    },
  };
}
