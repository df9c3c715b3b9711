import type { ServicePace } from './types';

/** Learns how fast the servers of each service are. */
export interface ServicePaces {
  pace(service: string): ServicePace;
  /** A request held its slot for so long. */
  noteSlotTime(service: string, durationMs: number): void;
  /** A prompt of so many uncached tokens took so long to its first byte on a server that had room. */
  notePrefill(service: string, tokens: number, durationMs: number): void;
}

/** Until something is measured: an accelerator reads some tens of tokens a ms, and an answer takes a second. */
const FIRST_PACE: ServicePace = { prefillMsPerToken: 0.025, slotTimeMs: 1_000 };
/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.05;
/** Shorter prompts say little of the pace: fixed costs outweigh them. */
const FEWEST_TOKENS = 1_000;
/** Bounds that keep one odd sample from making all prompts look free or hopeless, ms a token. */
const FASTEST_MS_PER_TOKEN = 0.002;
const SLOWEST_MS_PER_TOKEN = 0.2;

/** Paces that start from rough figures. */
export function createServicePaces(): ServicePaces {
  const paces = new Map<string, ServicePace>();
  const pace = (service: string) => paces.get(service) ?? FIRST_PACE;
  const blend = (before: number, sample: number) => before + (sample - before) * NEWEST_WEIGHT;
  return {
    pace,
    noteSlotTime(service, durationMs) {
      const before = pace(service);
      const isFirst = !paces.has(service);
      const slotTimeMs = isFirst ? durationMs : blend(before.slotTimeMs, durationMs);
      paces.set(service, { ...before, slotTimeMs });
    },
    notePrefill(service, tokens, durationMs) {
      if (tokens < FEWEST_TOKENS) return;
      const before = pace(service);
      const sample = Math.min(
        SLOWEST_MS_PER_TOKEN,
        Math.max(FASTEST_MS_PER_TOKEN, durationMs / tokens),
      );
      paces.set(service, {
        ...before,
        prefillMsPerToken: blend(before.prefillMsPerToken, sample),
      });
    },
  };
}
