import { contentHash, rootDigest } from './content-hash';
import { CHANGES_NAMED, SECTION_NAMES, changeSchema, sectionSchema } from './manifest-schema';
import type { ConfigurationChange, Manifest, RawRecord, SectionName } from './manifest-schema';
import { recordKey, sectionIndexOf, sectionText } from './sections';

/**
 * Makes the sections of a new version from those of the one in force and the records that changed, so that a
 * change of one caller costs a few hundred bytes instead of its whole section. Whether it came out right is
 * told by the hashes in the new manifest: whatever was wrong, a section that does not fit is read whole.
 */

/** Documents by hash. */
export type Documents = ReadonlyMap<string, string>;

/** Addresses of the change documents between two manifests, oldest first; undefined when the chain is broken. */
export function changesBetween(from: Manifest, to: Manifest): readonly string[] | undefined {
  const isSameLayout = SECTION_NAMES.every(
    (section) => from.sections[section].length === to.sections[section].length,
  );
  if (!isSameLayout) return undefined;
  const start = to.changes.findIndex((change) => change.after === from.version);
  return start === -1 ? undefined : to.changes.slice(start).map((change) => change.hash);
}

function parse<Value>(
  text: string | undefined,
  read: (value: unknown) => Value,
): Value | undefined {
  if (text === undefined) return undefined;
  try {
    return read(JSON.parse(text));
  } catch {
    return undefined;
  }
}

type SectionChanges = Map<number, Map<string, RawRecord | null>>;

function groupChanges(
  section: SectionName,
  count: number,
  changes: readonly ConfigurationChange[],
): SectionChanges {
  const groups: SectionChanges = new Map();
  for (const record of changes.flatMap((change) => change.records)) {
    if (record.section !== section) continue;
    const index = sectionIndexOf(record.key, count);
    const group = groups.get(index) ?? new Map<string, RawRecord | null>();
    group.set(record.key, record.value);
    groups.set(index, group);
  }
  return groups;
}

function applyToSection(
  section: SectionName,
  text: string,
  changed: ReadonlyMap<string, RawRecord | null>,
): string | undefined {
  const records = parse(text, (value) => sectionSchema.parse(value));
  if (records === undefined) return undefined;
  const kept = records.filter((record) => !changed.has(recordKey(section, record)));
  const added = [...changed.values()].filter((value): value is RawRecord => value !== null);
  return sectionText(section, [...kept, ...added]);
}

/** Sections of `to` that can be made from those of `from`, by their hash; only those that fit are returned. */
export function deriveSections(from: Manifest, to: Manifest, documents: Documents): Documents {
  const derived = new Map<string, string>();
  const addresses = changesBetween(from, to) ?? [];
  const changes: ConfigurationChange[] = [];
  for (const address of addresses) {
    const change = parse(documents.get(address), (value) => changeSchema.parse(value));
    if (change === undefined) return derived;
    changes.push(change);
  }
  for (const section of SECTION_NAMES) {
    const groups = groupChanges(section, from.sections[section].length, changes);
    for (const [index, changed] of groups) {
      const wanted = to.sections[section][index] ?? '';
      const before = documents.get(from.sections[section][index] ?? '');
      const text = before === undefined ? undefined : applyToSection(section, before, changed);
      if (text !== undefined && contentHash(text) === wanted) derived.set(wanted, text);
    }
  }
  return derived;
}

/** A root made from the version before, with the sections that it names anew. */
export interface DerivedRoot {
  readonly rootText: string;
  readonly sections: Documents;
}

interface NamedChange {
  readonly hash: string;
  readonly change: ConfigurationChange;
}

/** Sections after the changes, as addresses and as the texts that are new; undefined where one is not at hand. */
function deriveAddresses(
  from: Manifest,
  changes: readonly ConfigurationChange[],
  documents: Documents,
) {
  const texts = new Map<string, string>();
  const sections = { ...from.sections };
  for (const section of SECTION_NAMES) {
    const addresses = [...from.sections[section]];
    for (const [index, changed] of groupChanges(section, addresses.length, changes)) {
      const before = documents.get(addresses[index] ?? '');
      const text = before === undefined ? undefined : applyToSection(section, before, changed);
      if (text === undefined) return undefined;
      addresses[index] = contentHash(text);
      texts.set(contentHash(text), text);
    }
    sections[section] = addresses;
  }
  return { texts, sections };
}

/**
 * Makes a root from the one in force and the changes since, oldest first. The manifest is the larger part of
 * what a change costs, and all of it but a few hashes is known already. Undefined when the result does not have
 * the wanted digest, for instance since the head changed: then the root has to be read.
 */
export function deriveRoot(
  from: Manifest,
  documents: Documents,
  changeTexts: Documents,
  wantedDigest: string,
): DerivedRoot | undefined {
  const named: NamedChange[] = [];
  for (const [hash, text] of changeTexts) {
    const change = parse(text, (value) => changeSchema.parse(value));
    if (change === undefined) return undefined;
    named.push({ hash, change });
  }
  const derived = deriveAddresses(
    from,
    named.map(({ change }) => change),
    documents,
  );
  if (derived === undefined) return undefined;
  const versions = [from.version, ...named.map(({ change }) => change.version)];
  const entries = named.map(({ hash, change }, index) => ({
    version: change.version,
    after: versions[index] ?? from.version,
    hash,
  }));
  const manifest: Manifest = {
    ...from,
    version: versions.at(-1) ?? from.version,
    sections: derived.sections,
    changes: [...from.changes, ...entries].slice(-CHANGES_NAMED),
  };
  const rootText = JSON.stringify(manifest);
  return rootDigest(rootText) === wantedDigest ? { rootText, sections: derived.texts } : undefined;
}
