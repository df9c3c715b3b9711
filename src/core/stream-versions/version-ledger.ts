/** Versions of one stream, as they were recorded. */
export interface LedgerEntry {
  readonly service: string;
  /** More than one if the same request id was used for several streams; it is then not known which one is meant. */
  readonly softwareVersions: readonly string[];
  /** When the stream began, monotonic ms. */
  readonly begunAtMs: number;
  /** When the entry is dropped, monotonic ms. */
  readonly expiresAtMs: number;
}

/** A bounded record of the versions of streams, by stream key. */
export interface VersionLedger {
  record(
    key: string,
    entry: Omit<LedgerEntry, 'softwareVersions'> & { readonly softwareVersion: string },
  ): void;
  find(key: string, nowMs: number): LedgerEntry | undefined;
  /** Keeps an entry until a time, unless it is kept for longer. */
  extend(key: string, expiresAtMs: number): void;
  /** Returns the entries that were recorded last and have not expired, at most `max`. */
  newest(max: number, nowMs: number): readonly (readonly [key: string, entry: LedgerEntry])[];
  removeExpired(nowMs: number): void;
  size(): number;
}

/** Maximum entries; the oldest ones are dropped first. An entry takes about 300 bytes. */
const MAX_ENTRIES = 50_000;
/** Maximum versions of one entry: from two on, it only states that the stream is ambiguous. */
const MAX_VERSIONS = 2;

/** Creates an empty ledger. */
export function createVersionLedger(maxEntries = MAX_ENTRIES): VersionLedger {
  const entries = new Map<string, LedgerEntry>();

  return {
    record(key, { softwareVersion, ...entry }) {
      const before = entries.get(key)?.softwareVersions ?? [];
      const softwareVersions = [...new Set([...before, softwareVersion])].slice(0, MAX_VERSIONS);
      entries.delete(key);
      entries.set(key, { ...entry, softwareVersions });
      if (entries.size <= maxEntries) return;
      const [oldest] = entries.keys();
      if (oldest !== undefined) entries.delete(oldest);
    },
    find(key, nowMs) {
      const entry = entries.get(key);
      return entry === undefined || entry.expiresAtMs <= nowMs ? undefined : entry;
    },
    extend(key, expiresAtMs) {
      const entry = entries.get(key);
      if (entry === undefined || entry.expiresAtMs >= expiresAtMs) return;
      entries.delete(key);
      entries.set(key, { ...entry, expiresAtMs });
    },
    newest: (max, nowMs) =>
      [...entries].slice(-max).filter(([, entry]) => entry.expiresAtMs > nowMs),
    removeExpired(nowMs) {
      for (const [key, { expiresAtMs }] of entries) if (expiresAtMs <= nowMs) entries.delete(key);
    },
    size: () => entries.size,
  };
}
