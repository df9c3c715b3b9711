import { z } from 'zod';
import { nameSchema } from './names-schema';

/** Backend servers. */

/** One backend server. */
export const backendServerSchema = z.strictObject({
  id: nameSchema.describe('Unique in the deployment'),
  service: nameSchema,
  region: nameSchema,
  failureDomain: nameSchema,
  address: z
    .string()
    .regex(
      /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
      'write ip:port, for example 10.0.1.5:8000',
    )
    .describe('ip:port'),
  modelSlots: z
    .int()
    .min(1)
    .default(4)
    .describe('Models and adapters that the engine can hold at once'),
  refusesOldFencing: z
    .boolean()
    .default(false)
    .describe('Whether the engine refuses orders that carry an old fencing number'),
});
