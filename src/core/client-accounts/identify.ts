import { keyDigest } from '../key-digest';
import type { AccountIndex } from './account-index';
import type { ClientAccount } from './types';

/** Identity of the caller that sent a request. */
export type Identity =
  | { readonly kind: 'account'; readonly account: ClientAccount }
  /** An anonymous caller, where no key is required. */
  | { readonly kind: 'anyone' }
  /** A caller without a valid key, where one is required. */
  | { readonly kind: 'unknown' };

/** Input for identifying the caller that sent a request. */
export interface IdentifyInput {
  /** Undefined if the configuration has no accounts, so that requests need no key. */
  readonly accounts: AccountIndex | undefined;
  /** Whether the route accepts requests without a key. */
  readonly isPublicRoute: boolean;
  /** The key as it was sent; undefined if there was none. */
  readonly key: string | undefined;
}

/** Identifies the caller that sent a request. A known key identifies its account on public routes, too. */
export function identify({ accounts, isPublicRoute, key }: IdentifyInput): Identity {
  if (accounts === undefined) return { kind: 'anyone' };
  const account = key === undefined ? undefined : accounts.byKeyDigest(keyDigest(key));
  if (account !== undefined) return { kind: 'account', account };
  return isPublicRoute ? { kind: 'anyone' } : { kind: 'unknown' };
}
