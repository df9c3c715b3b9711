import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreCopy, StoreStandIn } from '../standins/published-store';
import type { StoreAtLoss } from './losses';
import type { StoreTrouble } from './types';

/** Troubles of the store, with a record of when it could not be read or its history was not whole. */
export interface StoreTroubles {
  readonly times: readonly StoreTrouble[];
  /** Has the store be in a state for some time; resolves once it is sound again. */
  play(state: StoreAtLoss, forMs: number): Promise<void>;
  /** Records a trouble that something else causes, until `ended` resolves or, if its history is lost, for good. */
  during(ended: Promise<void>, losesHistory: boolean): Promise<void>;
}

/** Options of `createStoreTroubles`. */
export interface StoreTroublesOptions {
  readonly store: StoreStandIn;
  readonly oldestCopy: () => StoreCopy;
  /** Publishes everything again. */
  readonly publishAgain: () => void;
}

/** Time from a call's arrival at a slow store until it is processed, ms. */
const SLOW_MS = 800;

/** Creates the troubles of a store that is sound. */
export function createStoreTroubles(options: StoreTroublesOptions): StoreTroubles {
  const { store } = options;
  const times: (StoreTrouble & { toMs: number })[] = [];

  const during: StoreTroubles['during'] = async (ended, losesHistory) => {
    const trouble = { fromMs: Date.now(), toMs: Infinity };
    times.push(trouble);
    await ended;
    if (!losesHistory) trouble.toMs = Date.now();
  };

  const apply = async (state: Exclude<StoreAtLoss, 'sound'>, forMs: number): Promise<void> => {
    switch (state) {
      case 'busy':
      case 'silent':
        store.setMood(state);
        await sleep(forMs);
        store.setMood('good');
        return;
      case 'slow':
        store.setDelayMs(SLOW_MS);
        await sleep(forMs);
        store.setDelayMs(0);
        return;
      case 'withoutHistory':
        store.compact();
        return;
      case 'restored':
        store.setMood('busy');
        store.restore(options.oldestCopy());
        store.setMood('good');
        await sleep(forMs);
        options.publishAgain();
        return;
      default:
        state satisfies never;
    }
  };

  return {
    times,
    during,
    async play(state, forMs) {
      switch (state) {
        case 'sound':
          return;
        case 'slow':
          // Whoever waits for its answers reads all of it.
          await apply(state, forMs);
          return;
        case 'busy':
        case 'silent':
          await during(apply(state, forMs), false);
          return;
        case 'withoutHistory':
        case 'restored':
          await during(apply(state, forMs), true);
          return;
        default:
          state satisfies never;
      }
    },
  };
}
