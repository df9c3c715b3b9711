/** Estimates how much longer than usual the work of each incarnation of a server takes now. */
export interface ServerSpeeds {
  /** Records the time to a first byte. Ignored for servers that have never stated their slowdown. */
  recordFirstByte(incarnationId: string, timing: SpeedSample, nowMs: number): void;
  /** Records the slowdown that a server states in an answer; 1 is usual. */
  recordStatedSlowdown(incarnationId: string, factor: number, nowMs: number): void;
  /** Returns the factor that multiplies the predicted times of a server; 1 is usual. */
  factor(incarnationId: string, nowMs: number): number;
  /** Drops the records of all server incarnations except the given ones. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Predicted and actual time to a first byte. */
export interface SpeedSample {
  /** Prediction for a server of usual speed. */
  readonly predictedMs: number;
  readonly actualMs: number;
}

/** Options of `createServerSpeeds`. */
export interface ServerSpeedsOptions {
  /** Whether stated slowdowns affect the factor; true by default. */
  readonly usesStated?: boolean;
  /** Whether the times to first bytes affect the factor; true by default. */
  readonly usesLearned?: boolean;
}

/**
 * Half-life of a statement, ms. The speed of a shared machine changes many times a second; after 700 ms a statement has
 * less than a tenth of its weight.
 */
const STATED_HALF_LIFE_MS = 200;
/** Half-life of samples, ms: an instance gets at most a few requests per second to one server. */
const LEARNED_HALF_LIFE_MS = 10_000;
/** Weight of the usual speed against the samples, ms: about seven requests of a usual duration. */
const PRIOR_WEIGHT_MS = 2_000;
/** Bounds of one sample and of the factor; without them, one outlier could make a server look free or unusable. */
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 8;
/**
 * Ratios of actual to predicted times up to `IGNORED_RATIO` also occur between servers of equal speed. They are ignored,
 * so that the choice between such servers does not follow chance. From `FULL_RATIO` on, a ratio counts in full; between
 * the two, in part. The same holds for the reciprocals of ratios below 1.
 */
const IGNORED_RATIO = 1.35;
const FULL_RATIO = 1.6;
/** Weight of the usual speed against the average of the statements, ms; small, since a stated factor is no estimate. */
const STATED_PRIOR_WEIGHT_MS = 100;

interface SpeedRecord {
  statedFactor: number;
  statedAtMs: number;
  /** Sums over recent first bytes: prediction, prediction times the slowdown stated with the answer, actual time. */
  predictedMs: number;
  explainedMs: number;
  actualMs: number;
  decayedAtMs: number;
}

function clamp(value: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, value));
}

/** Returns a learned ratio without the part of it that is usual at servers of equal speed. */
function withoutUsualDeviation(ratio: number): number {
  const share =
    (Math.abs(Math.log(ratio)) - Math.log(IGNORED_RATIO)) / Math.log(FULL_RATIO / IGNORED_RATIO);
  return ratio ** Math.min(1, Math.max(0, share));
}

/**
 * Creates estimates without any records.
 *
 * Servers of one service share machines with other programs. Without a factor per server, a slow one gets as many
 * requests as a fast one until those are late, and for seconds after each short slowdown it gets too few.
 *
 * The factor has two parts. The stated part is the slowdown that the server states; it decays within some hundred ms
 * towards its average over the last seconds, which is 1 without samples. The learned part is the ratio of actual times
 * to those that the statements explain, so a slowdown that is stated is not learned again.
 */
export function createServerSpeeds(options: ServerSpeedsOptions = {}): ServerSpeeds {
  const { usesStated = true, usesLearned = true } = options;
  const records = new Map<string, SpeedRecord>();

  const remainingShare = ({ decayedAtMs }: SpeedRecord, nowMs: number): number =>
    0.5 ** (Math.max(0, nowMs - decayedAtMs) / LEARNED_HALF_LIFE_MS);

  /** Returns the part of the factor that the statements explain. */
  const statedPart = (record: SpeedRecord, nowMs: number): number => {
    if (!usesStated) return 1;
    const remaining = remainingShare(record, nowMs);
    const priorMs = STATED_PRIOR_WEIGHT_MS;
    const average = usesLearned
      ? (record.explainedMs * remaining + priorMs) / (record.predictedMs * remaining + priorMs)
      : 1;
    const weight = 0.5 ** (Math.max(0, nowMs - record.statedAtMs) / STATED_HALF_LIFE_MS);
    return average + (record.statedFactor - average) * weight;
  };

  const learnedPart = (record: SpeedRecord, nowMs: number): number => {
    if (!usesLearned) return 1;
    const remaining = remainingShare(record, nowMs);
    const actualMs = record.actualMs * remaining + PRIOR_WEIGHT_MS;
    const explainedMs = record.explainedMs * remaining + PRIOR_WEIGHT_MS;
    return withoutUsualDeviation(actualMs / explainedMs);
  };

  return {
    recordFirstByte(incarnationId, { predictedMs, actualMs }, nowMs) {
      const record = records.get(incarnationId);
      if (record === undefined || !(predictedMs > 0) || !Number.isFinite(actualMs)) return;
      const remaining = remainingShare(record, nowMs);
      const explainedMs = predictedMs * statedPart(record, nowMs);
      record.predictedMs = record.predictedMs * remaining + predictedMs;
      record.explainedMs = record.explainedMs * remaining + explainedMs;
      record.actualMs = record.actualMs * remaining + predictedMs * clamp(actualMs / predictedMs);
      record.decayedAtMs = nowMs;
    },
    recordStatedSlowdown(incarnationId, factor, nowMs) {
      if (!Number.isFinite(factor) || factor <= 0) return;
      const record = records.get(incarnationId) ?? {
        statedFactor: 1,
        statedAtMs: nowMs,
        predictedMs: 0,
        explainedMs: 0,
        actualMs: 0,
        decayedAtMs: nowMs,
      };
      record.statedFactor = clamp(factor);
      record.statedAtMs = nowMs;
      records.set(incarnationId, record);
    },
    factor(incarnationId, nowMs) {
      const record = records.get(incarnationId);
      if (record === undefined) return 1;
      return clamp(learnedPart(record, nowMs) * statedPart(record, nowMs));
    },
    keepOnly(incarnationIds) {
      for (const id of records.keys()) if (!incarnationIds.has(id)) records.delete(id);
    },
  };
}
