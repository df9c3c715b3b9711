import { keyDigest } from '../key-digest';
import type { AccountIndex } from './account-index';
import type { ClientAccount } from './types';

/** Who sends a request. */
export type Identity =
  | { readonly kind: 'account'; readonly account: ClientAccount }
  /** Nobody in particular, where nobody has to be known. */
  | { readonly kind: 'anyone' }
  /** Nobody who may ask. */
  | { readonly kind: 'unknown' };

/** What an identity is found by. */
export interface IdentifyInput {
  /** Undefined where the configuration has no accounts, so that requests need no key. */
  readonly accounts: AccountIndex | undefined;
  /** Whether the route takes requests without a key. */
  readonly isPublicRoute: boolean;
  /** The key as it was sent; undefined for none. */
  readonly key: string | undefined;
}

/** Finds who sends a request; a known key counts on a public route as well. */
export function identify({ accounts, isPublicRoute, key }: IdentifyInput): Identity {
  if (accounts === undefined) return { kind: 'anyone' };
  const account = key === undefined ? undefined : accounts.byKeyDigest(keyDigest(key));
  if (account !== undefined) return { kind: 'account', account };
  return isPublicRoute ? { kind: 'anyone' } : { kind: 'unknown' };
}
