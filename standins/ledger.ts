/** One request that a backend server began to run. */
export interface LedgerEntry {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly bodyText: string;
}

/** What a stand-in server ran, for a test to hold against what callers were told. */
export interface Ledger {
  readonly entries: LedgerEntry[];
  /** How often a request with this body was run. */
  runsOfBody(bodyText: string): number;
}

/** An empty ledger. */
export function createLedger(): Ledger {
  const entries: LedgerEntry[] = [];
  return {
    entries,
    runsOfBody: (bodyText) => entries.filter((entry) => entry.bodyText === bodyText).length,
  };
}
