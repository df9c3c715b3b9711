/** How many requests of a service may wait for their first byte in each other region. */
export interface SpillWindows {
  hasRoom(service: string, region: string): boolean;
  /** Notes a request that is sent to a region. */
  begin(service: string, region: string): void;
  /** Notes what came of it first. */
  end(service: string, region: string, seen: SpillSeen, nowMs: number): void;
}

/** What a request that was sent to another region showed of it. */
export type SpillSeen =
  /** Its first byte came after so much of the latency objective; above 1 it was late. */
  | { readonly kind: 'firstByte'; readonly objectiveShare: number }
  /** The region refused it or failed. */
  | { readonly kind: 'refused' }
  /** Nothing, as when the caller left. */
  | { readonly kind: 'nothing' };

interface SpillWindow {
  limit: number;
  open: number;
  /** Answers that may still open the window: those to what was open when it was last full. */
  answersToGrowBy: number;
  /** Whether the region has been too full once, so that the window grows with care. */
  wasTooFull: boolean;
  lastCutAtMs: number;
}

/**
 * Requests that may wait in a region of which nothing has been seen yet. Some routes are bound to regions other than
 * this one, so that all of their requests leave it: with 2, callers of such routes were refused in the first second
 * after each start. Five instances with 8 each are some 40 requests, which two engines of 64 slots bear.
 */
const FIRST_LIMIT = 8;
/** Lets a region be asked again whatever happened. */
const LEAST_LIMIT = 2;
/** Far more than a small instance can hold open. */
const MOST_LIMIT = 256;
/** Part of the objective up to which a region has room to spare; a long round trip alone takes a fifth of it. */
const ROOMY_SHARE = 0.75;
/**
 * Part of the window that is kept when a region is too full. Large prompts are refused first, while the region still
 * has room for small ones; with half of it and a pause, regions were left at a third of what they could read.
 */
const KEPT = 0.8;
/** Refusals within one long round trip speak of one and the same moment of load, ms. */
const CUT_EVERY_MS = 250;
/** Growth for each round of answers once a region has been too full: a fifth or so of a usual window. */
const CAREFUL_GROWTH = 4;

/** What was seen says of the region's room. */
function judge(seen: SpillSeen): 'roomy' | 'even' | 'tooFull' {
  switch (seen.kind) {
    case 'firstByte':
      if (seen.objectiveShare > 1) return 'tooFull';
      return seen.objectiveShare <= ROOMY_SHARE ? 'roomy' : 'even';
    case 'refused':
      return 'tooFull';
    case 'nothing':
      return 'even';
    default:
      return seen satisfies never;
  }
}

/**
 * Windows that have seen nothing.
 *
 * Answers a region that loses its servers at once, or that starts again with all its callers waiting. What is
 * known of other regions' load is a second or two old, so each instance would send all of its excess to the one
 * that looked emptiest, refusals would come back after a long round trip, and the same requests would be sent to
 * that region's next instance. One notices waves of refusals by a region that was idle a second before. A window
 * opens as far as first bytes come back in time and closes a little with refusals and late ones. It counts requests
 * until their first byte rather than to their end: streams last for seconds, and a window that waited for their ends
 * would still be small when the trouble is over.
 */
export function createSpillWindows(): SpillWindows {
  const windows = new Map<string, SpillWindow>();

  const windowOf = (service: string, region: string): SpillWindow => {
    const key = `${service}/${region}`;
    const known = windows.get(key);
    if (known !== undefined) return known;
    const fresh: SpillWindow = {
      limit: FIRST_LIMIT,
      open: 0,
      answersToGrowBy: 0,
      wasTooFull: false,
      lastCutAtMs: -Infinity,
    };
    windows.set(key, fresh);
    return fresh;
  };

  /** The limit after an answer in time. */
  const grown = ({ limit, wasTooFull }: SpillWindow): number => {
    const growth = wasTooFull ? Math.min(1, CAREFUL_GROWTH / limit) : 1;
    return Math.min(MOST_LIMIT, limit + growth);
  };

  return {
    hasRoom(service, region) {
      const { open, limit } = windowOf(service, region);
      return open < Math.floor(limit);
    },
    begin(service, region) {
      const window = windowOf(service, region);
      window.open += 1;
      if (window.open >= Math.floor(window.limit)) window.answersToGrowBy = window.open;
    },
    end(service, region, seen, nowMs) {
      const window = windowOf(service, region);
      window.open -= 1;
      const verdict = judge(seen);
      switch (verdict) {
        case 'even':
          return;
        case 'roomy':
          if (window.answersToGrowBy === 0) return;
          window.answersToGrowBy -= 1;
          window.limit = grown(window);
          return;
        case 'tooFull':
          window.wasTooFull = true;
          if (nowMs - window.lastCutAtMs < CUT_EVERY_MS) return;
          window.lastCutAtMs = nowMs;
          window.limit = Math.max(LEAST_LIMIT, window.limit * KEPT);
          return;
        default:
          verdict satisfies never;
      }
    },
  };
}
