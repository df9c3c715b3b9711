import { contentHash } from './content-hash';
import { SECTION_NAMES, changeSchema, sectionSchema } from './manifest-schema';
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
