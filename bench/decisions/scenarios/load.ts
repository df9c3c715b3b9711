import type { ScenarioEntry } from '../scenario-entry';

/** Scenarios of admission, queueing and routing. */
export const LOAD_SCENARIOS: readonly ScenarioEntry[] = [];
