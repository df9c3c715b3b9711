/** Limits how many requests of a service may wait for their first byte in each other region. */
export interface SpillWindows {
  /** Whether another request may be sent to the region. */
  hasCapacity(service: string, region: string): boolean;
  /** Returns the number of requests sent to each region so far. */
  sentByRegion(): ReadonlyMap<string, number>;
  /** Records that a request is sent to a region. */
  begin(service: string, region: string): void;
  /** Records the first byte, refusal or end of a request, whichever is first. */
  end(service: string, region: string, result: SpillResult, nowMs: number): void;
}

/** Result of a request that was sent to another region. */
export type SpillResult =
  /** The first byte was received after this share of the latency objective; above 1 it was late. */
  | { readonly kind: 'firstByte'; readonly objectiveShare: number }
  /** The region refused the request or failed. */
  | { readonly kind: 'refused' }
  /** No information, for example because the caller disconnected. */
  | { readonly kind: 'nothing' };

interface SpillWindow {
  limit: number;
  /** Requests that wait for their first byte. */
  waiting: number;
  /** Number of answers that may still grow the window: as many as requests were waiting when it was last full. */
  growthCredits: number;
  /** Whether the region has been saturated before, so that the window grows slowly. */
  wasSaturated: boolean;
  lastShrunkAtMs: number;
}

/**
 * Requests that may wait in a region without any results yet. Some routes are bound to other regions, so that all their
 * requests leave this one: with a limit of 2, callers of such routes were refused in the first second after each start.
 * Five instances with 8 each send 40 requests, which two engines of 64 slots can handle.
 */
const INITIAL_LIMIT = 8;
/** Lower bound of a window, so that a region is tried again after any number of refusals. */
const MIN_LIMIT = 2;
/** Upper bound of a window: far more requests than a small instance can keep open. */
const MAX_LIMIT = 256;
/** Share of the objective within which a first byte grows the window; a long round trip alone takes a fifth of it. */
const MAX_OBJECTIVE_SHARE_TO_GROW = 0.75;
/**
 * Factor by which the window shrinks when a region is saturated. Large prompts are refused first, while the region
 * still has capacity for small ones; halving the window and pausing left regions at a third of their prefill capacity.
 */
const SHRINK_FACTOR = 0.8;
/** Minimum interval between two reductions, ms: refusals within a long round trip result from the same load peak. */
const MIN_SHRINK_INTERVAL_MS = 250;
/** Growth per full window of answers once a region has been saturated: about a fifth of a usual window. */
const SLOW_GROWTH_PER_WINDOW = 4;

/** Classifies the capacity of a region by the result of a request. */
function classify(result: SpillResult): 'available' | 'neutral' | 'saturated' {
  switch (result.kind) {
    case 'firstByte':
      if (result.objectiveShare > 1) return 'saturated';
      return result.objectiveShare <= MAX_OBJECTIVE_SHARE_TO_GROW ? 'available' : 'neutral';
    case 'refused':
      return 'saturated';
    case 'nothing':
      return 'neutral';
    default:
      return result satisfies never;
  }
}

/**
 * Creates windows in their initial state.
 *
 * Guards against overloading other regions when a region loses all its servers at once, or restarts with all its
 * callers waiting. The known load of other regions is one or two seconds old. Each instance would send its entire
 * excess to the region that seemed least loaded, get refusals after a long round trip, and send the same requests to
 * that region's next instance: waves of refusals by a region that was idle a second before. A window grows while first
 * bytes arrive in time, and shrinks a little with refusals and late first bytes. It counts requests until their first
 * byte instead of their end, because streams last for seconds: a window that waited for their ends would still be small
 * when the incident is over.
 */
export function createSpillWindows(): SpillWindows {
  const windows = new Map<string, SpillWindow>();
  const sent = new Map<string, number>();

  const windowOf = (service: string, region: string): SpillWindow => {
    const key = `${service}/${region}`;
    const existing = windows.get(key);
    if (existing !== undefined) return existing;
    const created: SpillWindow = {
      limit: INITIAL_LIMIT,
      waiting: 0,
      growthCredits: 0,
      wasSaturated: false,
      lastShrunkAtMs: -Infinity,
    };
    windows.set(key, created);
    return created;
  };

  /** Returns the limit after an answer in time. */
  const grownLimit = ({ limit, wasSaturated }: SpillWindow): number => {
    const growth = wasSaturated ? Math.min(1, SLOW_GROWTH_PER_WINDOW / limit) : 1;
    return Math.min(MAX_LIMIT, limit + growth);
  };

  return {
    hasCapacity(service, region) {
      const { waiting, limit } = windowOf(service, region);
      return waiting < Math.floor(limit);
    },
    sentByRegion: () => sent,
    begin(service, region) {
      sent.set(region, (sent.get(region) ?? 0) + 1);
      const window = windowOf(service, region);
      window.waiting += 1;
      if (window.waiting >= Math.floor(window.limit)) window.growthCredits = window.waiting;
    },
    end(service, region, result, nowMs) {
      const window = windowOf(service, region);
      window.waiting -= 1;
      const capacity = classify(result);
      switch (capacity) {
        case 'neutral':
          return;
        case 'available':
          if (window.growthCredits === 0) return;
          window.growthCredits -= 1;
          window.limit = grownLimit(window);
          return;
        case 'saturated':
          window.wasSaturated = true;
          if (nowMs - window.lastShrunkAtMs < MIN_SHRINK_INTERVAL_MS) return;
          window.lastShrunkAtMs = nowMs;
          window.limit = Math.max(MIN_LIMIT, window.limit * SHRINK_FACTOR);
          return;
        default:
          capacity satisfies never;
      }
    },
  };
}
