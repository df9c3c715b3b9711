/** Servers that fail or are slow among good ones. */
export { OUTLIER_EVENTS } from './events';
export { keepUsable } from './keep-usable';
export { createOutlierTracker } from './outlier-tracker';
export type { OutlierTracker } from './outlier-tracker';
export { createRecordedOutlierTracker } from './record-tries';
export type { Ejection, EjectionReason, ObservedServer, ObservedTry, EjectionState } from './types';
