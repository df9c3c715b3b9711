/** Learns how fast other regions answer what is sent there from here. */
export interface RegionPaces {
  /** Predicted time to the first byte of a request with so many prompt tokens to read there, ms. */
  predictMs(place: RegionPlace, prefillMs: number, nowMs: number): number;
  /** Notes a first byte that came after `actualMs`, of which reading its prompt was expected to take `prefillMs`. */
  noteFirstByte(place: RegionPlace, prefillMs: number, actualMs: number, nowMs: number): void;
}

/** One service in one region. */
export interface RegionPlace {
  readonly service: string;
  readonly region: string;
}

interface RegionPace {
  /** Time beyond that of reading the prompt: the way there and back, and waiting. */
  beyondMs: number;
  notedAtMs: number;
}

/** Weight of the newest sample; a few requests decide, since a region fills within a second. */
const NEWEST_WEIGHT = 0.2;
/** Until something is measured: a round trip of the longest links and a first step of a batch, ms. */
const FIRST_BEYOND_MS = 130;
/** Time in which what is known goes half of the way back to that, so that a region that was full is tried again. */
const HALF_LIFE_MS = 2_000;

/** Paces that know nothing. */
export function createRegionPaces(): RegionPaces {
  const paces = new Map<string, RegionPace>();
  const keyOf = ({ service, region }: RegionPlace) => `${service}/${region}`;

  const beyondMs = (place: RegionPlace, nowMs: number): number => {
    const pace = paces.get(keyOf(place));
    if (pace === undefined) return FIRST_BEYOND_MS;
    const factor = 0.5 ** (Math.max(0, nowMs - pace.notedAtMs) / HALF_LIFE_MS);
    return FIRST_BEYOND_MS + (pace.beyondMs - FIRST_BEYOND_MS) * factor;
  };

  return {
    predictMs: (place, prefillMs, nowMs) => beyondMs(place, nowMs) + prefillMs,
    noteFirstByte(place, prefillMs, actualMs, nowMs) {
      const before = beyondMs(place, nowMs);
      const sampleMs = Math.max(0, actualMs - prefillMs);
      paces.set(keyOf(place), {
        beyondMs: before + (sampleMs - before) * NEWEST_WEIGHT,
        notedAtMs: nowMs,
      });
    },
  };
}
