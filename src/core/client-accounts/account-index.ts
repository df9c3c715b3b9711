import type { ClientAccount } from './types';

/** Looks up the accounts of one version of the configuration. */
export interface AccountIndex {
  /** Returns the account that has a key, by the digest of the key; undefined if no account or several have it. */
  byKeyDigest(digest: string): ClientAccount | undefined;
  /** Returns the account of this name, if any. */
  byName(name: string): ClientAccount | undefined;
  /** Names of the accounts that have a key in common with another account. */
  readonly accountsSharingKeys: readonly string[];
}

/**
 * Creates an index of accounts.
 *
 * A key that several accounts have identifies none of them: if a request were served for one account, it could read
 * data of another one unnoticed. The other keys of these accounts stay valid.
 */
export function createAccountIndex(accounts: readonly ClientAccount[]): AccountIndex {
  const accountsByDigest = new Map<string, ClientAccount[]>();
  for (const account of accounts) {
    for (const digest of new Set(account.keyDigests)) {
      accountsByDigest.set(digest, [...(accountsByDigest.get(digest) ?? []), account]);
    }
  }
  const byName = new Map(accounts.map((account) => [account.name, account]));
  const shared = [...accountsByDigest.values()]
    .filter((accountsOfKey) => accountsOfKey.length > 1)
    .flat();
  return {
    byKeyDigest(digest) {
      const accountsOfKey = accountsByDigest.get(digest) ?? [];
      return accountsOfKey.length === 1 ? accountsOfKey[0] : undefined;
    },
    byName: (name) => byName.get(name),
    accountsSharingKeys: [...new Set(shared.map(({ name }) => name))],
  };
}
