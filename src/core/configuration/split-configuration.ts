import { contentHash } from './content-hash';
import { CHANGES_NAMED, MANIFEST_FORMAT, SECTION_NAMES } from './manifest-schema';
import type { ConfigurationChange, Manifest, RawRecord, SectionName } from './manifest-schema';
import type { ConfigurationInput } from './schema';
import { recordKey, sectionIndexOf, sectionText } from './sections';

/** A version in its published form. */
export interface PublishedConfiguration {
  readonly manifest: Manifest;
  /** Value of the configuration key. */
  readonly rootText: string;
  /** Values of the documents by their hash; those already published need not be written again. */
  readonly documents: ReadonlyMap<string, string>;
}

/**
 * Records in one section: 18,000 callers give 64 sections of about 50 KB, far below a megabyte, and a manifest
 * of under 4 KB. Fewer records would make the manifest the larger part of what a change costs.
 */
const RECORDS_PER_SECTION = 512;

type RawSections = Readonly<Record<SectionName, readonly RawRecord[]>>;

function rawSections(document: ConfigurationInput): RawSections {
  const { services, backendServers, callers } = document;
  return { services, backendServers, callers };
}

function headOf(document: ConfigurationInput): Record<string, unknown> {
  const { services, backendServers, callers, version, $schema, ...head } = document;
  return head;
}

/** A power of two, so that growth doubles the sections and is rare. */
function sectionCount(recordCount: number, previousCount: number): number {
  let count = 1;
  while (count * RECORDS_PER_SECTION < recordCount) count *= 2;
  return Math.max(count, previousCount);
}

function cutIntoSections(
  section: SectionName,
  records: readonly RawRecord[],
  count: number,
): readonly string[] {
  const cut: RawRecord[][] = Array.from({ length: count }, () => []);
  for (const record of records) {
    cut[sectionIndexOf(recordKey(section, record), count)]?.push(record);
  }
  return cut.map((part) => sectionText(section, part));
}

function changedRecords(
  section: SectionName,
  before: readonly RawRecord[],
  after: readonly RawRecord[],
): ConfigurationChange['records'] {
  const old = new Map(before.map((record) => [recordKey(section, record), JSON.stringify(record)]));
  const changed: ConfigurationChange['records'] = [];
  for (const record of after) {
    const key = recordKey(section, record);
    if (old.get(key) !== JSON.stringify(record)) changed.push({ section, key, value: record });
    old.delete(key);
  }
  for (const key of old.keys()) changed.push({ section, key, value: null });
  return changed;
}

/** What was published before, for a version that follows it. */
export interface PreviousVersion {
  readonly document: ConfigurationInput;
  readonly manifest: Manifest;
}

/**
 * Cuts a version into its published form. Pure: the caller writes the documents first and the root last, so
 * that whoever sees the root finds all that it names. Documents of the last versions must be left in place for
 * a while, since instances that lag still read them.
 */
export function splitConfiguration(
  document: ConfigurationInput,
  previous?: PreviousVersion,
): PublishedConfiguration {
  const records = rawSections(document);
  const documents = new Map<string, string>();
  const keep = (text: string): string => {
    const hash = contentHash(text);
    documents.set(hash, text);
    return hash;
  };

  const addressesOf = (section: SectionName): string[] => {
    const previousCount = previous?.manifest.sections[section].length ?? 1;
    const count = sectionCount(records[section].length, previousCount);
    return cutIntoSections(section, records[section], count).map(keep);
  };
  const sections = {
    services: addressesOf('services'),
    backendServers: addressesOf('backendServers'),
    callers: addressesOf('callers'),
  };

  const changes: Manifest['changes'] = [];
  const isSameLayout = SECTION_NAMES.every(
    (section) => previous?.manifest.sections[section].length === sections[section].length,
  );
  if (previous !== undefined && isSameLayout) {
    const old = rawSections(previous.document);
    const change: ConfigurationChange = {
      version: document.version,
      records: SECTION_NAMES.flatMap((section) =>
        changedRecords(section, old[section], records[section]),
      ),
    };
    const named = {
      version: document.version,
      after: previous.manifest.version,
      hash: keep(JSON.stringify(change)),
    };
    changes.push(...[...previous.manifest.changes, named].slice(-CHANGES_NAMED));
  }

  const manifest: Manifest = {
    format: MANIFEST_FORMAT,
    version: document.version,
    head: headOf(document),
    sections,
    changes,
  };
  return { manifest, rootText: JSON.stringify(manifest), documents };
}
