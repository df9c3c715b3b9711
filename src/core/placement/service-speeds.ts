import type { ServiceSpeed } from './types';

/** Measures how fast the servers of each service are. */
export interface ServiceSpeeds {
  /** Returns the speed of a service's servers, or a default until it is measured. */
  speedOf(service: string): ServiceSpeed;
  /** Records for how long a request occupied its slot. */
  recordSlotTime(service: string, durationMs: number): void;
  /** Records the time to the first byte of a prompt with `tokens` uncached tokens on a server with free slots. */
  recordPrefill(service: string, tokens: number, durationMs: number): void;
}

/** Speed assumed until the first sample: an accelerator prefills some tens of tokens per ms, an answer takes 1 s. */
const INITIAL_SPEED: ServiceSpeed = { prefillMsPerToken: 0.025, slotTimeMs: 1_000 };
/** Weight of the newest sample. */
const NEWEST_SAMPLE_WEIGHT = 0.05;
/** Minimum prompt length of a sample: fixed costs dominate the time of shorter prompts. */
const MIN_SAMPLE_TOKENS = 1_000;
/** Bounds of a sample, ms/token, so that one outlier does not make all prompts look free or unservable. */
const MIN_MS_PER_TOKEN = 0.002;
const MAX_MS_PER_TOKEN = 0.2;

/** Creates measurements that start from rough defaults. */
export function createServiceSpeeds(): ServiceSpeeds {
  const speeds = new Map<string, ServiceSpeed>();
  const speedOf = (service: string) => speeds.get(service) ?? INITIAL_SPEED;
  const blend = (average: number, sample: number) =>
    average + (sample - average) * NEWEST_SAMPLE_WEIGHT;
  return {
    speedOf,
    recordSlotTime(service, durationMs) {
      const current = speedOf(service);
      const isFirst = !speeds.has(service);
      const slotTimeMs = isFirst ? durationMs : blend(current.slotTimeMs, durationMs);
      speeds.set(service, { ...current, slotTimeMs });
    },
    recordPrefill(service, tokens, durationMs) {
      if (tokens < MIN_SAMPLE_TOKENS) return;
      const current = speedOf(service);
      const sample = Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, durationMs / tokens));
      speeds.set(service, {
        ...current,
        prefillMsPerToken: blend(current.prefillMsPerToken, sample),
      });
    },
  };
}
