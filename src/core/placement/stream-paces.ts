/** What is seen of streams that are under way: how fast each server goes on with them, and how long they are. */
export interface StreamPaces {
  /** So many events came so long after the one before them. */
  noteEvents(incarnationId: string, events: number, gapMs: number, nowMs: number): void;
  /** A stream of a kind ended whole. */
  noteLength(kind: string, events: number): void;
  /** Mean time between two events of one stream at a server lately, ms; 0 where none has come for long. */
  gapMs(incarnationId: string, nowMs: number): number;
  /** Events that a stream of this kind has on average; 0 while none has ended. */
  expectedEvents(kind: string): number;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

interface Gap {
  meanMs: number;
  atMs: number;
}

/** Weight of the newest gap: some thirty events decide, which a busy server sends in a few hundred ms. */
const NEWEST_GAP_WEIGHT = 0.03;
/** Time without an event in which what is known of a server halves, ms; the streams of one prompt are over by then. */
const HALF_LIFE_MS = 1_500;
/** Weight of the newest stream; some twenty decide. */
const NEWEST_LENGTH_WEIGHT = 0.05;

/** Paces of which nothing has been seen. */
export function createStreamPaces(): StreamPaces {
  const gaps = new Map<string, Gap>();
  const lengths = new Map<string, number>();

  const left = ({ meanMs, atMs }: Gap, nowMs: number): number =>
    meanMs * 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS);

  return {
    noteEvents(incarnationId, events, gapMs, nowMs) {
      const sampleMs = gapMs / events;
      const gap = gaps.get(incarnationId);
      if (gap === undefined) {
        gaps.set(incarnationId, { meanMs: sampleMs, atMs: nowMs });
        return;
      }
      gap.meanMs += (sampleMs - gap.meanMs) * Math.min(1, NEWEST_GAP_WEIGHT * events);
      gap.atMs = nowMs;
    },
    noteLength(kind, events) {
      const before = lengths.get(kind) ?? events;
      lengths.set(kind, before + (events - before) * NEWEST_LENGTH_WEIGHT);
    },
    gapMs(incarnationId, nowMs) {
      const gap = gaps.get(incarnationId);
      return gap === undefined ? 0 : left(gap, nowMs);
    },
    expectedEvents: (kind) => lengths.get(kind) ?? 0,
    keepOnly(incarnationIds) {
      for (const id of gaps.keys()) if (!incarnationIds.has(id)) gaps.delete(id);
    },
  };
}
