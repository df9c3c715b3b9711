import { z } from 'zod';
import { nameSchema } from './names-schema';

/** Placement: which models, adapters, versions and roles the engines of each region are to have. */

/** What an engine does: both phases of a request, or one of them. */
export const engineRoleSchema = z.enum(['mixed', 'prefill', 'decode']);

const wantedModel = z.strictObject({
  service: nameSchema,
  region: nameSchema,
  name: z.string().min(1).describe('Model or adapter name that callers may ask for'),
  kind: z.enum(['model', 'adapter']).default('adapter'),
  version: z.string().min(1).describe('Version of the weights; a change replaces them in turn'),
  source: z.string().min(1).describe('Where the weight store has this version'),
  engines: z.int().min(1).describe('How many engines of the region are to have it'),
});

const wantedRole = z.strictObject({
  service: nameSchema,
  region: nameSchema,
  role: engineRoleSchema,
  engines: z.int().min(1).describe('How many engines of the region are to have this role'),
});

/** The section `placement`. */
export const placementSchema = z
  .strictObject({
    models: z.array(wantedModel).default([]).describe('Engines are left alone where this is empty'),
    roles: z.array(wantedRole).default([]).describe('Roles are left alone where this is empty'),
    weightStoreLoadsPerMinute: z
      .number()
      .positive()
      .default(60)
      .describe('Reads that the weight store grants all regions together, loads/min'),
    lookIntervalMs: z
      .int()
      .min(100)
      .default(5_000)
      .describe('Time between two looks at engines that have what they should, ms'),
    replaceAfterMs: z
      .int()
      .min(0)
      .default(60_000)
      .describe('Time for which an engine is down before others get what it had, ms'),
  })
  .prefault({});
