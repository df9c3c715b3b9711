/** One request that a backend server began to run. */
export interface LedgerEntry {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly bodyText: string;
}

/** Records what stand-in servers ran, so that a test can compare it with the answers that callers got. */
export interface Ledger {
  readonly entries: LedgerEntry[];
  /** Returns how many times a request with this body was run. */
  runsOfBody(bodyText: string): number;
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
  const entries: LedgerEntry[] = [];
  return {
    entries,
    runsOfBody: (bodyText) => entries.filter((entry) => entry.bodyText === bodyText).length,
  };
}
