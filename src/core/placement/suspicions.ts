/**
 * Servers that sent bytes without end that are no answer.
 *
 * Such a server answers its connections, so that nothing else tells it from a sound one, and each request there costs its
 * caller seconds. It gets no request until a backoff is over, and then one at a time until one of them is answered whole.
 */
export interface Suspicions {
  /** Records that an answer of the server had no end. */
  recordMisbehaved(incarnationId: string, nowMs: number): void;
  /** Returns whether the server may get requests. */
  standing(incarnationId: string, nowMs: number): SuspicionStanding;
  /** Records that a request is sent. The returned trial is to be ended with the request. */
  begin(incarnationId: string): Trial;
  /** Number of servers under suspicion. */
  count(): number;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Whether a server may get requests. */
export type SuspicionStanding =
  | 'sound'
  /** It may get one request, of those that may be repeated. */
  | 'onTrial'
  /** It may get one request of any kind, since none that may be repeated has come for a while. */
  | 'overdue'
  | 'barred';

/** What the end of a request shows of its server. */
export type TrialResult = 'whole' | 'failed' | 'inconclusive';

/** A request at a server, as far as it may show that the server is sound again. */
export interface Trial {
  end(result: TrialResult, nowMs: number): void;
}

interface Suspicion {
  barredUntilMs: number;
  /** Times in a row that the server misbehaved. */
  times: number;
  /** Requests sent under this suspicion that have not ended. */
  trials: number;
}

/** Backoff after the first endless answer, ms; doubles with each further one. */
const INITIAL_BACKOFF_MS = 500;
/** Maximum backoff, ms, so that a server that is sound again comes back within seconds. */
const MAX_BACKOFF_MS = 2_000;

/** Time after a backoff from which any request may show that the server is sound, ms. */
const OVERDUE_AFTER_MS = 2_000;

const NO_TRIAL: Trial = { end() {} };

/** Creates a record without suspicions. */
export function createSuspicions(): Suspicions {
  const suspicions = new Map<string, Suspicion>();

  const extend = (incarnationId: string, nowMs: number): void => {
    const suspicion = suspicions.get(incarnationId);
    // Requests that were sent together fail together; they count once.
    if (suspicion === undefined || suspicion.barredUntilMs > nowMs) return;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** suspicion.times);
    suspicion.barredUntilMs = nowMs + backoffMs;
    suspicion.times += 1;
  };

  return {
    recordMisbehaved(incarnationId, nowMs) {
      if (!suspicions.has(incarnationId)) {
        suspicions.set(incarnationId, { barredUntilMs: -Infinity, times: 0, trials: 0 });
      }
      extend(incarnationId, nowMs);
    },
    standing(incarnationId, nowMs) {
      const suspicion = suspicions.get(incarnationId);
      if (suspicion === undefined) return 'sound';
      const { barredUntilMs, trials } = suspicion;
      if (barredUntilMs > nowMs || trials > 0) return 'barred';
      return nowMs >= barredUntilMs + OVERDUE_AFTER_MS ? 'overdue' : 'onTrial';
    },
    begin(incarnationId) {
      const suspicion = suspicions.get(incarnationId);
      // A request that was sent before the server misbehaved shows nothing of the time after.
      if (suspicion === undefined) return NO_TRIAL;
      let isOver = false;
      suspicion.trials += 1;
      return {
        end(result, nowMs) {
          if (isOver) return;
          isOver = true;
          suspicion.trials -= 1;
          if (suspicions.get(incarnationId) !== suspicion) return;
          if (result === 'whole') suspicions.delete(incarnationId);
          else if (result === 'failed') extend(incarnationId, nowMs);
        },
      };
    },
    count: () => suspicions.size,
    keepOnly(incarnationIds) {
      for (const id of suspicions.keys()) if (!incarnationIds.has(id)) suspicions.delete(id);
    },
  };
}
