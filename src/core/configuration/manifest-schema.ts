import { z } from 'zod';
import { callerSchema } from './caller-schema';
import { backendServerSchema } from './server-schema';
import { serviceSchema } from './service-schema';

/**
 * The published form of a large configuration. The root is a manifest that names sections by the hash of their
 * content, so that a version costs readers the manifest and what changed: 18,000 callers do not fit a value of
 * the configuration service, and reading them all for each of 16,000 changes a day would cost each instance
 * many times what it may spend. Small sites publish the whole configuration as one document instead.
 */

/** Marks a root as a manifest. */
export const MANIFEST_FORMAT = 'coltsfootworks-manifest-1';

/** The collections that are cut into sections. */
export const SECTION_NAMES = ['services', 'backendServers', 'callers'] as const;
/** One of the collections. */
export type SectionName = (typeof SECTION_NAMES)[number];

/** Versions whose changes the manifest names: an instance that missed fewer reads these and no section. */
export const CHANGES_NAMED = 16;

/** Schema of one record of each collection. */
export const RECORD_SCHEMAS = {
  services: serviceSchema,
  backendServers: backendServerSchema,
  callers: callerSchema,
} as const;

const address = z.string().regex(/^[\w-]{22}$/, 'write a content hash of 22 characters');
const sectionAddresses = z.array(address).min(1).max(4_096);

/** Schema of the manifest. */
export const manifestSchema = z.strictObject({
  format: z.literal(MANIFEST_FORMAT),
  version: z.int().min(1),
  head: z.record(z.string(), z.unknown()).describe('All but the collections, as in one document'),
  sections: z.strictObject({
    services: sectionAddresses,
    backendServers: sectionAddresses,
    callers: sectionAddresses,
  }),
  changes: z
    .array(z.strictObject({ version: z.int().min(1), after: z.int().min(1), hash: address }))
    .max(64)
    .describe(
      'The last versions, each with the version it follows and the document of what it changed, oldest first',
    ),
});

/** The manifest. */
export type Manifest = z.output<typeof manifestSchema>;

/** One record of a collection as the operator wrote it. */
export type RawRecord = Readonly<Record<string, unknown>>;

/** Schema of a section: the records whose keys fall into it, in the order of their keys. */
export const sectionSchema = z.array(z.record(z.string(), z.unknown()));

/** Schema of what one version changed. */
export const changeSchema = z.strictObject({
  version: z.int().min(1),
  records: z.array(
    z.strictObject({
      section: z.enum(SECTION_NAMES),
      key: z.string(),
      value: z.record(z.string(), z.unknown()).nullable().describe('null: the record is gone'),
    }),
  ),
});

/** What one version changed. */
export type ConfigurationChange = z.output<typeof changeSchema>;
