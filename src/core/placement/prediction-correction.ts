/** Corrects predicted times to the first byte by the accuracy of earlier predictions. */
export interface PredictionCorrection {
  /** Returns the corrected prediction; `kind` identifies requests that servers treat alike. */
  correct(kind: string, predictedMs: number): number;
  /** Records the actual time to the first byte of a request. */
  record(kind: string, predictedMs: number, actualMs: number): void;
}

interface Sums {
  predictedMs: number;
  actualMs: number;
}

/** Share of the sums that remains after each new sample: they cover about the last fifty requests. */
const DECAY = 0.98;
/** Weight of the uncorrected prediction, ms: as much as about ten requests of a usual duration. */
const PRIOR_WEIGHT_MS = 2_000;
/** Bounds of the correction, so that a minute of unusual load does not make every server look free or unusable. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 3;

/**
 * Creates a correction without any samples.
 *
 * The prediction treats the load of a server as one number, but servers prefer urgent requests: these wait less than
 * predicted, the others longer. Without a correction, urgent requests would be sent to other regions or refused
 * although they would be served in time here.
 */
export function createPredictionCorrection(): PredictionCorrection {
  const sums = new Map<string, Sums>();
  return {
    correct(kind, predictedMs) {
      const { predictedMs: predicted, actualMs } = sums.get(kind) ?? {
        predictedMs: 0,
        actualMs: 0,
      };
      const ratio = (actualMs + PRIOR_WEIGHT_MS) / (predicted + PRIOR_WEIGHT_MS);
      return predictedMs * Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    },
    record(kind, predictedMs, actualMs) {
      const previous = sums.get(kind) ?? { predictedMs: 0, actualMs: 0 };
      sums.set(kind, {
        predictedMs: previous.predictedMs * DECAY + predictedMs,
        actualMs: previous.actualMs * DECAY + actualMs,
      });
    },
  };
}
