import type { ScenarioEntry } from '../scenario-entry';
import { LOAD_SCENARIOS } from './load';
import { OUTLIER_SCENARIOS } from './outliers';
import { POISON_SCENARIOS } from './poison';
import { RETRY_SCENARIOS } from './retries';
import { SPILLOVER_SCENARIOS } from './spillover';

/** Every load scenario, in the order in which they are run and printed. */
export const SCENARIOS: readonly ScenarioEntry[] = [
  ...LOAD_SCENARIOS,
  ...OUTLIER_SCENARIOS,
  ...RETRY_SCENARIOS,
  ...POISON_SCENARIOS,
  ...SPILLOVER_SCENARIOS,
];
