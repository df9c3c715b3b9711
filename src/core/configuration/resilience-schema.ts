import { z } from 'zod';

/** How the system answers failures of servers and requests; one section for the whole deployment. */

/** The zod schema of its options. */
export const retryOptionsSchema = z.strictObject({
  mostTries: z.int().min(1).max(10).default(3).describe('Tries of one request, the first included'),
  share: z
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('Retries that one answered request pays for, per service and instance'),
  reserveTries: z
    .number()
    .min(0)
    .default(10)
    .describe('Retries that a service may save up on one instance'),
  backoffBaseMs: z
    .number()
    .min(0)
    .default(25)
    .describe('Longest pause before the second try; doubles with each further try, ms'),
  backoffCapMs: z.number().min(0).default(1_000).describe('Longest pause before any try, ms'),
});

/** The zod schema of its options. */
export const poisonOptionsSchema = z.strictObject({
  crashesToRefuse: z
    .int()
    .min(2)
    .max(8)
    .default(2)
    .describe('Crashes during one and the same request after which it is refused'),
  refuseForMs: z
    .number()
    .min(1_000)
    .default(900_000)
    .describe('Time for which it is refused at first; doubles with each further crash, ms'),
  refuseAtMostMs: z
    .number()
    .min(1_000)
    .default(86_400_000)
    .describe('Longest time for which it is refused, ms'),
});

/** The zod schema of its options. */
export const outlierOptionsSchema = z.strictObject({
  failuresInARow: z
    .int()
    .min(1)
    .default(5)
    .describe('Failures in a row after which a server is ejected'),
  slowFactor: z
    .number()
    .min(1.5)
    .default(3)
    .describe('Times as slow as the median of its kind at which a server is ejected'),
  mostEjectedShare: z
    .number()
    .min(0)
    .max(0.9)
    .default(0.5)
    .describe('Most servers of a service and region that are ejected at once, as a share'),
  ejectForMs: z
    .number()
    .min(100)
    .default(10_000)
    .describe('Length of the first ejection; doubles with each further one in a row, ms'),
  ejectAtMostMs: z.number().min(100).default(300_000).describe('Longest ejection, ms'),
  returnMs: z
    .number()
    .min(0)
    .default(10_000)
    .describe('Time over which a server that comes back is given its full share, ms'),
  forgetEjectionMs: z
    .number()
    .min(1_000)
    .default(60_000)
    .describe('Time in good order after which one ejection is forgotten, ms'),
});

/** The zod schema of its options. */
export const spilloverOptionsSchema = z.strictObject({
  leastUtilisation: z
    .number()
    .min(0)
    .max(1)
    .default(0.9)
    .describe('Use of the home region below which nothing leaves it, as a share of its limit'),
  foreignUtilisation: z
    .number()
    .min(0)
    .max(1)
    .default(0.75)
    .describe('Use of a region up to which it takes requests of others, as a share of its limit'),
  risePerSecond: z
    .number()
    .min(0)
    .max(1)
    .default(0.05)
    .describe('Most by which the share of requests that leave may rise in a second'),
  fallPerSecond: z
    .number()
    .min(0)
    .max(1)
    .default(0.02)
    .describe('Most by which it may fall in a second'),
});

/** The zod schema of the section. */
export const resilienceSchema = z.strictObject({
  retries: retryOptionsSchema.prefault({}),
  poison: poisonOptionsSchema.prefault({}),
  outliers: outlierOptionsSchema.prefault({}),
  spillover: spilloverOptionsSchema.prefault({}),
});

/** The section with its defaults filled in. */
export type Resilience = z.output<typeof resilienceSchema>;
/** Options of retries. */
export type RetryOptions = z.output<typeof retryOptionsSchema>;
/** Options of the refusal of requests that crash servers. */
export type PoisonOptions = z.output<typeof poisonOptionsSchema>;
/** Options of outlier ejection. */
export type OutlierOptions = z.output<typeof outlierOptionsSchema>;
/** Options of spillover between regions. */
export type SpilloverOptions = z.output<typeof spilloverOptionsSchema>;
