import { resilienceSchema } from './resilience-schema';
import type { Resilience } from './resilience-schema';
import type { ConfigurationStore } from './store';

const DEFAULTS = resilienceSchema.parse({});

/** The section in force, or its defaults until a first version is. */
export function currentResilience(store: Pick<ConfigurationStore, 'current'>): Resilience {
  return store.current()?.document.resilience ?? DEFAULTS;
}
