import type { ScenarioEntry } from '../scenario-entry';
import { LOAD_SCENARIOS } from './load';

/** Every load scenario, in the order in which they are run and printed. */
export const SCENARIOS: readonly ScenarioEntry[] = [...LOAD_SCENARIOS];
