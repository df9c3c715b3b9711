/** Recording of decisions. Replaying them is in `replay.ts`, apart, since the decisions' slices import from here. */
export { recordDraws } from './recorded-random';
export type { RecordedRandom } from './recorded-random';
export { traceLineSchema } from './schema';
export type { DecisionRecorder, TraceLine, TraceLineOf } from './schema';
