import type { z } from 'zod';
import { readDocument } from '../documents';
import type { DocumentProblem } from '../documents';
import { changesBetween, deriveSections } from './apply-changes';
import type { Documents } from './apply-changes';
import { contentHash, rootDigest } from './content-hash';
import {
  MANIFEST_FORMAT,
  RECORD_SCHEMAS,
  SECTION_NAMES,
  manifestSchema,
  sectionSchema,
} from './manifest-schema';
import type { Manifest, SectionName } from './manifest-schema';
import { checkReferences, configurationSchema, headSchema } from './schema';
import type { Configuration } from './schema';
import { recordKey, sectionIndexOf } from './sections';

/** A version that has been read and checked whole, with the texts that it was read from. */
export interface ConfigurationImage {
  readonly version: number;
  readonly rootText: string;
  /** SHA-256 of the root text, hex. */
  readonly digest: string;
  /** Undefined when the root is the whole configuration. */
  readonly manifest: Manifest | undefined;
  /** Sections and change documents that the manifest names, as far as they are at hand. */
  readonly documents: Documents;
  /** Checked records by the hash of their section, so that an unchanged section is never checked again. */
  readonly checkedSections: ReadonlyMap<string, readonly unknown[]>;
  readonly document: Configuration;
}

/** What became of putting a version together. */
export type Assembly =
  | { readonly kind: 'whole'; readonly image: ConfigurationImage }
  /** Nothing is known to be wrong, but these documents must be read first. */
  | { readonly kind: 'incomplete'; readonly missingHashes: readonly string[] }
  | { readonly kind: 'invalid'; readonly problems: readonly DocumentProblem[] };

/** The version that a root claims, before anything else of it is read. */
export interface RootClaim {
  readonly version: number;
  readonly digest: string;
  readonly value: unknown;
}

/** Reads the version number of a root; undefined when there is none. */
export function readRootClaim(rootText: string): RootClaim | undefined {
  try {
    const value: unknown = JSON.parse(rootText);
    const version = (value as { version?: unknown } | null)?.version;
    if (typeof version !== 'number' || !Number.isInteger(version)) return undefined;
    return { version, digest: rootDigest(rootText), value };
  } catch {
    return undefined;
  }
}

function isManifest(value: unknown): boolean {
  return (value as { format?: unknown } | null)?.format === MANIFEST_FORMAT;
}

function checkSection(section: SectionName, index: number, count: number, text: string) {
  const problems: DocumentProblem[] = [];
  const records: unknown[] = [];
  for (const raw of sectionSchema.parse(JSON.parse(text))) {
    const key = recordKey(section, raw);
    const path = `/${section}/${key}`;
    if (sectionIndexOf(key, count) !== index) {
      problems.push({ path, problem: `stands in section ${index}, where it does not belong` });
    }
    const schema: z.ZodType = RECORD_SCHEMAS[section];
    const reading = readDocument(schema, raw);
    if (reading.kind === 'valid') records.push(reading.value);
    else {
      for (const each of reading.problems) {
        problems.push({ path: `${path}${each.path}`, problem: each.problem });
      }
    }
  }
  return { problems, records };
}

interface Gathered {
  readonly documents: Documents;
  readonly missingHashes: readonly string[];
}

/** Collects the documents that a manifest needs, from what is at hand and what can be made from it. */
function gather(
  manifest: Manifest,
  before: ConfigurationImage | undefined,
  given: Documents,
): Gathered {
  const atHand = new Map([...(before?.documents ?? []), ...given]);
  const derived =
    before?.manifest === undefined
      ? new Map<string, string>()
      : deriveSections(before.manifest, manifest, atHand);
  const find = (hash: string) => atHand.get(hash) ?? derived.get(hash);

  const documents = new Map<string, string>();
  const missingSections: string[] = [];
  for (const hash of SECTION_NAMES.flatMap((section) => manifest.sections[section])) {
    const text = find(hash);
    if (text === undefined) missingSections.push(hash);
    else documents.set(hash, text);
  }
  for (const { hash } of manifest.changes) {
    const text = find(hash);
    if (text !== undefined) documents.set(hash, text);
  }
  if (missingSections.length === 0) return { documents, missingHashes: [] };

  const chain =
    before?.manifest === undefined ? undefined : changesBetween(before.manifest, manifest);
  const missingChanges = chain?.filter((hash) => !atHand.has(hash)) ?? [];
  return {
    documents,
    missingHashes: missingChanges.length > 0 ? missingChanges : missingSections,
  };
}

function checkWhole(
  manifest: Manifest,
  documents: Documents,
  before: ConfigurationImage | undefined,
) {
  const problems: DocumentProblem[] = [];
  const checkedSections = new Map<string, readonly unknown[]>();
  const collections: Record<string, unknown[]> = {};
  for (const section of SECTION_NAMES) {
    const hashes = manifest.sections[section];
    collections[section] = hashes.flatMap((hash, index) => {
      const known = before?.checkedSections.get(hash);
      const checked =
        known === undefined
          ? checkSection(section, index, hashes.length, documents.get(hash) ?? '[]')
          : { problems: [], records: known };
      problems.push(...checked.problems);
      checkedSections.set(hash, checked.records);
      return checked.records;
    });
  }
  const head = readDocument(headSchema, { ...manifest.head, version: manifest.version });
  if (head.kind === 'invalid') problems.push(...head.problems);
  return { problems, checkedSections, collections, head };
}

function assembleManifest(
  claim: RootClaim,
  rootText: string,
  before: ConfigurationImage | undefined,
  given: Documents,
): Assembly {
  const reading = readDocument(manifestSchema, claim.value);
  if (reading.kind === 'invalid') return reading;
  const manifest = reading.value;
  const { documents, missingHashes } = gather(manifest, before, given);
  if (missingHashes.length > 0) return { kind: 'incomplete', missingHashes };

  const { problems, checkedSections, collections, head } = checkWhole(manifest, documents, before);
  if (head.kind === 'invalid' || problems.length > 0) return { kind: 'invalid', problems };
  const document = { ...head.value, ...collections } as Configuration;
  checkReferences(document, (path, problem) => {
    problems.push({ path: `/${path.map(String).join('/')}`, problem });
  });
  if (problems.length > 0) return { kind: 'invalid', problems };
  const { version, digest } = claim;
  const image = { version, digest, rootText, manifest, documents, checkedSections, document };
  return { kind: 'whole', image };
}

/**
 * Puts a version together from its root, the documents at hand and the version before, and checks it whole.
 * Documents whose content does not fit their address are left out, as if they had not been given.
 */
export function assembleConfiguration(
  claim: RootClaim,
  rootText: string,
  before: ConfigurationImage | undefined,
  given: Documents,
): Assembly {
  if (isManifest(claim.value)) {
    const intact = new Map([...given].filter(([hash, text]) => contentHash(text) === hash));
    return assembleManifest(claim, rootText, before, intact);
  }
  const reading = readDocument(configurationSchema, claim.value);
  if (reading.kind === 'invalid') return reading;
  return {
    kind: 'whole',
    image: {
      version: claim.version,
      digest: claim.digest,
      rootText,
      manifest: undefined,
      documents: new Map(),
      checkedSections: new Map(),
      document: reading.value,
    },
  };
}

/** A version as one JSON document, as operators write it; costs time in proportion to its size. */
export function wholeText({ manifest, rootText, documents }: ConfigurationImage): string {
  if (manifest === undefined) return rootText;
  const collections = Object.fromEntries(
    SECTION_NAMES.map((section) => [
      section,
      manifest.sections[section].flatMap((hash) =>
        sectionSchema.parse(JSON.parse(documents.get(hash) ?? '[]')),
      ),
    ]),
  );
  return JSON.stringify({ version: manifest.version, ...manifest.head, ...collections });
}
