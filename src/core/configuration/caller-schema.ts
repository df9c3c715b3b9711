import { z } from 'zod';
import { nameSchema, regionNamesSchema } from './names-schema';

/** Callers: who may ask, where their data may be, and how much. */

const callerLimits = z.strictObject({
  requestsPerSecond: z
    .number()
    .positive()
    .default(50)
    .describe('Sustained rate over all instances, requests/s'),
  burstRequests: z
    .int()
    .min(1)
    .default(100)
    .describe('Most requests at once after a quiet time, requests'),
});

/** One caller. */
export const callerSchema = z.strictObject({
  id: nameSchema,
  keySha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'write the SHA-256 digest of the key as 64 hex digits'),
  regions: regionNamesSchema.describe('Regions in which data of this caller may be'),
  homeRegion: nameSchema
    .optional()
    .describe('Region nearest to the caller; default: the region of its entry instance'),
  limits: callerLimits.prefault({}),
});
