/** Detects and ejects servers that fail or are slow while others of their group are not. */
export { OUTLIER_EVENTS } from './events';
export { keepUsable } from './keep-usable';
export { createOutlierTracker } from './outlier-tracker';
export type { OutlierTracker } from './outlier-tracker';
export { createRecordedOutlierTracker } from './record-attempts';
export type {
  Ejection,
  EjectionReason,
  ObservedServer,
  ObservedAttempt,
  EjectionState,
} from './types';
