import type { ClientAccount } from './types';

/** Finds the accounts of one version of the configuration. */
export interface AccountIndex {
  /** The account that holds a key, by the key's digest; undefined where none does, or more than one. */
  byKeyDigest(digest: string): ClientAccount | undefined;
  byName(name: string): ClientAccount | undefined;
  /** Accounts that hold a key which another one holds as well. */
  readonly sharingKeys: readonly string[];
}

/**
 * An index over accounts.
 *
 * A key that two accounts hold names neither: served for one of them, a request could read what belongs to the other, and
 * nobody would notice. The other keys of both hold.
 */
export function createAccountIndex(accounts: readonly ClientAccount[]): AccountIndex {
  const holders = new Map<string, ClientAccount[]>();
  for (const account of accounts) {
    for (const digest of new Set(account.keyDigests)) {
      holders.set(digest, [...(holders.get(digest) ?? []), account]);
    }
  }
  const byName = new Map(accounts.map((account) => [account.name, account]));
  const shared = [...holders.values()].filter((some) => some.length > 1).flat();
  return {
    byKeyDigest(digest) {
      const some = holders.get(digest) ?? [];
      return some.length === 1 ? some[0] : undefined;
    },
    byName: (name) => byName.get(name),
    sharingKeys: [...new Set(shared.map(({ name }) => name))],
  };
}
