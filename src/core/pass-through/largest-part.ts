import type { LocalChoice } from './local-choice';

/** Part of a prediction that a refusal may rest on. */
export type PredictionPart = keyof LocalChoice['parts'] | 'correctionMs';

/** Returns the part that adds most to a prediction. */
export function largestPart({
  parts,
  predictedMs,
  rawPredictedMs,
}: Pick<LocalChoice, 'parts' | 'predictedMs' | 'rawPredictedMs'>): PredictionPart {
  const all: Readonly<Record<PredictionPart, number>> = {
    ...parts,
    correctionMs: predictedMs - rawPredictedMs,
  };
  const names = Object.keys(all) as PredictionPart[];
  return names.reduce((largest, name) => (all[name] > all[largest] ? name : largest));
}
