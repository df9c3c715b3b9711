/** A log of the last change of each key, cut into what each partner lacks. */

/** What is kept of one change. */
export interface Change<Value> {
  /** Where it stands in the log; rises with each change. */
  readonly position: number;
  readonly key: string;
  readonly value: Value;
  /** Partner from whom it was learned, which need not be told again; undefined when it arose here. */
  readonly learnedFrom: string | undefined;
}

/**
 * The last change of each key, in the order in which this instance learned them. A partner that has read up to
 * a position is sent only what came after it, so an exchange costs what has changed and not the whole view.
 */
export interface ChangeLog<Value> {
  append(key: string, value: Value, learnedFrom: string | undefined): void;
  remove(key: string): void;
  /** Changes after `position`, oldest first. */
  since(position: number): Iterable<Change<Value>>;
  /** Position of the newest change. */
  tip(): number;
  size(): number;
}

/** Entries that have been overtaken are cleared out once they outnumber the others this many times. */
const COMPACT_AT_RATIO = 2;
/** Minimum number of entries before overtaken ones are cleared out. */
const MIN_ENTRIES_TO_COMPACT = 64;

/** Index of the first entry after `position`; entries stand in the order of their positions. */
function firstAfter(entries: readonly Change<unknown>[], position: number): number {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const entry = entries[middle];
    if (entry !== undefined && entry.position <= position) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** An empty log. */
export function createChangeLog<Value>(): ChangeLog<Value> {
  const latest = new Map<string, Change<Value>>();
  let entries: Change<Value>[] = [];
  let tip = 0;

  const compact = () => {
    const limit = Math.max(MIN_ENTRIES_TO_COMPACT, latest.size * COMPACT_AT_RATIO);
    if (entries.length > limit) {
      entries = entries.filter((entry) => latest.get(entry.key) === entry);
    }
  };

  return {
    append(key, value, learnedFrom) {
      tip += 1;
      const change = { position: tip, key, value, learnedFrom };
      latest.set(key, change);
      entries.push(change);
      compact();
    },
    remove(key) {
      latest.delete(key);
      compact();
    },
    *since(position) {
      const seen = entries;
      for (let index = firstAfter(seen, position); index < seen.length; index += 1) {
        const entry = seen[index];
        if (entry !== undefined && latest.get(entry.key) === entry) yield entry;
      }
    },
    tip: () => tip,
    size: () => latest.size,
  };
}
