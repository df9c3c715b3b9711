import { z } from 'zod';

/** A name in the configuration. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'write lower-case letters, digits, dots and dashes, 63 at most',
  );

/** Names of regions; what each must be is checked over the whole document. */
export const regionNamesSchema = z.array(nameSchema).min(1, 'name at least one region');
