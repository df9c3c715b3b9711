/** Pauses that backend servers have asked this instance for, and the return to them afterwards. */
export interface Pauses {
  /** Records that a server asks for a pause. Returns whether none was in force. */
  begin(incarnationId: string, waitMs: number, nowMs: number): boolean;
  /** Records an answer that shows that a server takes requests. Returns whether that ends a pause. */
  recordAnswer(incarnationId: string, nowMs: number): boolean;
  /** Records that a server has refused without asking for a pause. */
  recordRefusal(incarnationId: string, nowMs: number): void;
  /** Records that a request is sent to a server. */
  recordSent(incarnationId: string, nowMs: number): void;
  /** Returns the time until a request may be sent to a server, ms; 0 if it may be sent now. */
  waitMs(incarnationId: string, nowMs: number): number;
  /** Returns the servers that are due for a health check, which counts as sent. */
  takeDueChecks(nowMs: number): readonly string[];
  /** Number of servers that get no requests, or only checks. */
  count(nowMs: number): number;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Maximum time for which a pause is kept, ms; a server that states more is asked again then, and not lost for good. */
const MAX_PAUSE_MS = 300_000;
/** Interval between two health checks after a pause, ms, until one shows that the server takes requests again. */
const CHECK_INTERVAL_MS = 1_000;
/** Number of checks without an answer after which a request is sent instead; a server may answer none. */
const MAX_UNANSWERED_CHECKS = 3;
/** Interval between two such requests, ms. */
const TRIAL_INTERVAL_MS = 1_000;
/** Time over which the rate of requests rises after a pause, ms. */
const RISE_MS = 2_000;
/** Rate at which the rise starts, requests per ms, and the time in which it doubles, ms. */
const INITIAL_REQUESTS_PER_MS = 0.002;
const DOUBLING_MS = 200;
/** Minimum time until a server that is being checked is considered again, ms: the round trip of the check. */
const MIN_WAIT_MS = 20;

type Pause =
  | { readonly phase: 'paused'; readonly untilMs: number }
  /** The pause is over; a health check has to show whether the server takes requests again. */
  | {
      readonly phase: 'checking';
      readonly nextCheckAtMs: number;
      readonly checksSent: number;
      readonly nextTrialAtMs: number;
    }
  /** The server takes requests again, at a rising rate. */
  | { readonly phase: 'rising'; readonly sinceMs: number; readonly sentCount: number };

/** Returns the number of requests that may be sent in the first `elapsedMs` of a rise. */
function allowedAfter(elapsedMs: number): number {
  const doublings = elapsedMs / DOUBLING_MS;
  return 1 + ((INITIAL_REQUESTS_PER_MS * DOUBLING_MS) / Math.LN2) * (2 ** doublings - 1);
}

/** Returns the time after the start of a rise at which `count` requests may have been sent, ms. */
function timeOfRequestMs(count: number): number {
  const exponential = ((count - 1) * Math.LN2) / (INITIAL_REQUESTS_PER_MS * DOUBLING_MS) + 1;
  return DOUBLING_MS * Math.log2(exponential);
}

/**
 * Creates an empty record.
 *
 * A server that asked for a pause has no work when it ends, so every instance would select it for all its next
 * requests and it would have to ask for a pause again. So a pause ends with a health check, which costs no caller
 * anything, and the rate of requests rises from then on.
 */
export function createPauses(): Pauses {
  const pauses = new Map<string, Pause>();

  /** Returns the pause of a server, moved on to its phase at `nowMs`. */
  const current = (incarnationId: string, nowMs: number): Pause | undefined => {
    const pause = pauses.get(incarnationId);
    if (pause?.phase === 'paused' && nowMs >= pause.untilMs) {
      const next: Pause = {
        phase: 'checking',
        nextCheckAtMs: pause.untilMs,
        checksSent: 0,
        nextTrialAtMs: pause.untilMs,
      };
      pauses.set(incarnationId, next);
      return next;
    }
    if (pause?.phase === 'rising' && nowMs - pause.sinceMs >= RISE_MS) {
      pauses.delete(incarnationId);
      return undefined;
    }
    return pause;
  };

  const begin: Pauses['begin'] = (incarnationId, waitMs, nowMs) => {
    const before = current(incarnationId, nowMs);
    const untilMs = nowMs + Math.min(MAX_PAUSE_MS, waitMs);
    // The longest pause binds; a shorter one that is stated later does not end it.
    const inForceUntilMs = before?.phase === 'paused' ? before.untilMs : 0;
    pauses.set(incarnationId, { phase: 'paused', untilMs: Math.max(untilMs, inForceUntilMs) });
    return before?.phase !== 'paused';
  };

  return {
    begin,
    recordAnswer(incarnationId, nowMs) {
      // During a pause, this is the answer to a request that was sent before it.
      if (current(incarnationId, nowMs)?.phase !== 'checking') return false;
      pauses.set(incarnationId, { phase: 'rising', sinceMs: nowMs, sentCount: 0 });
      return true;
    },
    recordRefusal(incarnationId, nowMs) {
      const phase = current(incarnationId, nowMs)?.phase;
      if (phase === 'checking' || phase === 'rising') {
        begin(incarnationId, CHECK_INTERVAL_MS, nowMs);
      }
    },
    recordSent(incarnationId, nowMs) {
      const pause = current(incarnationId, nowMs);
      if (pause?.phase === 'rising') {
        pauses.set(incarnationId, { ...pause, sentCount: pause.sentCount + 1 });
      }
      if (pause?.phase === 'checking') {
        pauses.set(incarnationId, { ...pause, nextTrialAtMs: nowMs + TRIAL_INTERVAL_MS });
      }
    },
    waitMs(incarnationId, nowMs) {
      const pause = current(incarnationId, nowMs);
      switch (pause?.phase) {
        case undefined:
          return 0;
        case 'paused':
          return pause.untilMs - nowMs;
        case 'checking':
          if (pause.checksSent <= MAX_UNANSWERED_CHECKS) {
            return Math.max(MIN_WAIT_MS, pause.nextCheckAtMs - nowMs);
          }
          return Math.max(0, pause.nextTrialAtMs - nowMs);
        case 'rising': {
          const next = pause.sentCount + 1;
          if (next <= allowedAfter(nowMs - pause.sinceMs)) return 0;
          return Math.max(1, pause.sinceMs + timeOfRequestMs(next) - nowMs);
        }
        default:
          return pause satisfies never;
      }
    },
    takeDueChecks(nowMs) {
      const due: string[] = [];
      for (const incarnationId of pauses.keys()) {
        const pause = current(incarnationId, nowMs);
        if (pause?.phase !== 'checking' || nowMs < pause.nextCheckAtMs) continue;
        const checksSent = pause.checksSent + 1;
        const nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
        pauses.set(incarnationId, { ...pause, checksSent, nextCheckAtMs });
        due.push(incarnationId);
      }
      return due;
    },
    count: (nowMs) =>
      [...pauses.keys()].filter((id) => {
        const phase = current(id, nowMs)?.phase;
        return phase === 'paused' || phase === 'checking';
      }).length,
    keepOnly(incarnationIds) {
      for (const id of pauses.keys()) if (!incarnationIds.has(id)) pauses.delete(id);
    },
  };
}
