import { hashText } from '../hashing';
import type { RawRecord, SectionName } from './manifest-schema';

/** How records are laid out in sections. Every instance and the operators' tool must agree on it. */

/** The field that names a record of a collection. */
export function recordKey(section: SectionName, record: RawRecord): string {
  return String(section === 'services' ? record.name : record.id);
}

/** Which of `count` sections a record stands in; it stays there while the count does. */
export function sectionIndexOf(key: string, count: number): number {
  return hashText(key) % count;
}

function byKey(section: SectionName) {
  return (left: RawRecord, right: RawRecord): number => {
    const leftKey = recordKey(section, left);
    const rightKey = recordKey(section, right);
    if (leftKey === rightKey) return 0;
    return leftKey < rightKey ? -1 : 1;
  };
}

/** The text of a section: equal records give equal text, in whatever order they came. */
export function sectionText(section: SectionName, records: readonly RawRecord[]): string {
  return JSON.stringify([...records].sort(byKey(section)));
}
