import type { ServicePace } from './types';

/** Learns how fast the servers of each service are. */
export interface ServicePaces {
  pace(service: string): ServicePace;
  /** A request held its slot for so long. */
  noteSlotTime(service: string, durationMs: number): void;
  /** A prompt of so many uncached tokens took so long to its first byte at a server with nothing else to read. */
  noteFirstByte(service: string, tokens: number, durationMs: number): void;
}

/** Until something is measured: an accelerator reads some tens of tokens a ms, and an answer takes a second. */
const FIRST_SLOT_TIME_MS = 1_000;
/** Weight of the newest slot time. */
const NEWEST_WEIGHT = 0.05;
/** Part of the sums that one more first byte leaves; some fifty requests decide. */
const KEPT = 0.98;
/** Weight of what is assumed, in first bytes that are seen; a dozen of those decide. */
const ASSUMED_WEIGHT = 0.5;
/** Bounds that keep one odd sample from making all prompts look free or hopeless, ms a token. */
const FASTEST_MS_PER_TOKEN = 0.002;
const SLOWEST_MS_PER_TOKEN = 0.2;
/** Later than this, a first byte says nothing of the pace any more, ms. */
const LONGEST_SAMPLE_MS = 5_000;

/** One first byte: prompt tokens that were read for it, and the time that it took, ms. */
interface FirstByteSample {
  readonly tokens: number;
  readonly durationMs: number;
}

/** Weighted sums of first bytes, from which a line of time over tokens is drawn. */
interface LineSums {
  readonly count: number;
  readonly tokens: number;
  readonly ms: number;
  readonly tokensSquared: number;
  readonly tokensMs: number;
}

/** Stand for first bytes before any is seen: a way there and back, and a prompt of a usual length. */
const ASSUMED: readonly FirstByteSample[] = [
  { tokens: 0, durationMs: 25 },
  { tokens: 10_000, durationMs: 275 },
];
const NO_SUMS: LineSums = { count: 0, tokens: 0, ms: 0, tokensSquared: 0, tokensMs: 0 };

function addSample(
  sums: LineSums,
  { tokens, durationMs }: FirstByteSample,
  weights: { readonly kept: number; readonly added: number },
): LineSums {
  const { kept, added } = weights;
  return {
    count: sums.count * kept + added,
    tokens: sums.tokens * kept + tokens * added,
    ms: sums.ms * kept + durationMs * added,
    tokensSquared: sums.tokensSquared * kept + tokens * tokens * added,
    tokensMs: sums.tokensMs * kept + tokens * durationMs * added,
  };
}

const ASSUMED_SUMS = ASSUMED.reduce(
  (sums, sample) => addSample(sums, sample, { kept: 1, added: ASSUMED_WEIGHT }),
  NO_SUMS,
);

/** The line that fits what was seen best, with what is assumed beside it. */
function fitLine(seen: LineSums): Pick<ServicePace, 'prefillMsPerToken' | 'fixedMs'> {
  const count = seen.count + ASSUMED_SUMS.count;
  const tokens = seen.tokens + ASSUMED_SUMS.tokens;
  const ms = seen.ms + ASSUMED_SUMS.ms;
  const tokensSquared = seen.tokensSquared + ASSUMED_SUMS.tokensSquared;
  const tokensMs = seen.tokensMs + ASSUMED_SUMS.tokensMs;
  const slope = (count * tokensMs - tokens * ms) / (count * tokensSquared - tokens * tokens);
  const prefillMsPerToken = Math.min(SLOWEST_MS_PER_TOKEN, Math.max(FASTEST_MS_PER_TOKEN, slope));
  const fixedMs = Math.max(0, (ms - prefillMsPerToken * tokens) / count);
  return { prefillMsPerToken, fixedMs };
}

const FIRST_PACE: ServicePace = { ...fitLine(NO_SUMS), slotTimeMs: FIRST_SLOT_TIME_MS };

interface Learned {
  readonly pace: ServicePace;
  readonly firstBytes: LineSums;
  readonly hasSlotTime: boolean;
}

const NOTHING_LEARNED: Learned = { pace: FIRST_PACE, firstBytes: NO_SUMS, hasSlotTime: false };

/**
 * Paces that start from rough figures.
 *
 * Answers prompts of very different sizes. Each first byte takes some time that has nothing to do with its prompt: the way,
 * a step of the batch. Learned as time for reading, it makes long prompts look late at servers that would read them in
 * time; one notices refusals of long prompts beside idle servers. So both are told apart by prompts of several lengths.
 */
export function createServicePaces(): ServicePaces {
  const services = new Map<string, Learned>();
  const of = (service: string) => services.get(service) ?? NOTHING_LEARNED;
  return {
    pace: (service) => of(service).pace,
    noteSlotTime(service, durationMs) {
      const { pace, hasSlotTime, ...rest } = of(service);
      const slotTimeMs = hasSlotTime
        ? pace.slotTimeMs + (durationMs - pace.slotTimeMs) * NEWEST_WEIGHT
        : durationMs;
      services.set(service, { ...rest, pace: { ...pace, slotTimeMs }, hasSlotTime: true });
    },
    noteFirstByte(service, tokens, durationMs) {
      const before = of(service);
      const sample = { tokens, durationMs: Math.min(LONGEST_SAMPLE_MS, durationMs) };
      const firstBytes = addSample(before.firstBytes, sample, { kept: KEPT, added: 1 });
      const pace = { ...before.pace, ...fitLine(firstBytes) };
      services.set(service, { ...before, firstBytes, pace });
    },
  };
}
