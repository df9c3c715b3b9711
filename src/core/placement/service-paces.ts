import type { ServicePace } from './types';

/** Learns how fast the servers of each service are. */
export interface ServicePaces {
  pace(service: string): ServicePace;
  /** A request held its slot for so long. */
  noteSlotTime(service: string, durationMs: number): void;
  /** The first byte of a prompt came, at a server with room. */
  noteFirstByte(service: string, seen: FirstByteSeen): void;
}

/** What a first byte shows. */
export interface FirstByteSeen {
  /** Prompt tokens that were read for it, those in a cache left out. */
  readonly tokens: number;
  readonly durationMs: number;
  /** Whether the server had nothing else to read when the request was sent. */
  readonly wasAlone: boolean;
}

/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.05;
/** Shorter prompts say little of the pace of reading. */
const FEWEST_TOKENS = 1_000;
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

function boundedPace(msPerToken: number): number {
  return Math.min(SLOWEST_MS_PER_TOKEN, Math.max(FASTEST_MS_PER_TOKEN, msPerToken));
}

/** Where the line that fits what was seen best begins, with what is assumed beside it, ms. */
function fixedMsOf(seen: LineSums): number {
  const count = seen.count + ASSUMED_SUMS.count;
  const tokens = seen.tokens + ASSUMED_SUMS.tokens;
  const ms = seen.ms + ASSUMED_SUMS.ms;
  const tokensSquared = seen.tokensSquared + ASSUMED_SUMS.tokensSquared;
  const tokensMs = seen.tokensMs + ASSUMED_SUMS.tokensMs;
  const slope = (count * tokensMs - tokens * ms) / (count * tokensSquared - tokens * tokens);
  return Math.max(0, (ms - boundedPace(slope) * tokens) / count);
}

/** Until something is measured: an accelerator reads some tens of tokens a ms, and an answer takes a second. */
const FIRST_PACE: ServicePace = {
  prefillMsPerToken: 0.025,
  fixedMs: fixedMsOf(NO_SUMS),
  slotTimeMs: 1_000,
};

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
 * time; one notices refusals of long prompts beside idle servers. So the fixed time is found by prompts of several lengths at
 * servers that have nothing else to read. The pace of reading follows all servers with room: what prompts wait for one
 * another is part of it, and without that more would be let in than servers bear.
 */
export function createServicePaces(): ServicePaces {
  const services = new Map<string, Learned>();
  const blend = (before: number, sample: number) => before + (sample - before) * NEWEST_WEIGHT;
  const of = (service: string) => services.get(service) ?? NOTHING_LEARNED;
  return {
    pace: (service) => of(service).pace,
    noteSlotTime(service, durationMs) {
      const { pace, hasSlotTime, ...rest } = of(service);
      const slotTimeMs = hasSlotTime ? blend(pace.slotTimeMs, durationMs) : durationMs;
      services.set(service, { ...rest, pace: { ...pace, slotTimeMs }, hasSlotTime: true });
    },
    noteFirstByte(service, { tokens, durationMs, wasAlone }) {
      const before = of(service);
      const sample = { tokens, durationMs: Math.min(LONGEST_SAMPLE_MS, durationMs) };
      const firstBytes = wasAlone
        ? addSample(before.firstBytes, sample, { kept: KEPT, added: 1 })
        : before.firstBytes;
      const fixedMs = wasAlone ? fixedMsOf(firstBytes) : before.pace.fixedMs;
      const pace = { ...before.pace, fixedMs };
      const prefillMsPerToken =
        tokens < FEWEST_TOKENS
          ? pace.prefillMsPerToken
          : blend(pace.prefillMsPerToken, boundedPace((durationMs - fixedMs) / tokens));
      services.set(service, { ...before, firstBytes, pace: { ...pace, prefillMsPerToken } });
    },
  };
}
