import { createHash, timingSafeEqual } from 'node:crypto';
import type { Caller, CompiledConfiguration } from '../configuration';
import { keyDigest } from '../key-digest';

export { keyDigest } from '../key-digest';

/** Who may come in. */

const BEARER = /^Bearer +(\S+)$/i;

/** The key of an `Authorization: Bearer` header, or undefined. */
export function bearerKey(authorization: string | undefined): string | undefined {
  return authorization === undefined ? undefined : BEARER.exec(authorization)?.[1];
}

/** Compares two secrets in a time that tells nothing about where they differ. */
export function sameSecret(given: string, expected: string): boolean {
  const givenDigest = createHash('sha256').update(given).digest();
  const expectedDigest = createHash('sha256').update(expected).digest();
  return timingSafeEqual(givenDigest, expectedDigest);
}

/**
 * The caller whose key this is. The look-up goes by digest: how long it takes depends on the digest of
 * what was sent, from which nothing of any key can be learned; the digests are then compared in constant time.
 */
export function authenticate(
  authorization: string | undefined,
  configuration: CompiledConfiguration,
): Caller | undefined {
  const key = bearerKey(authorization);
  if (key === undefined) return undefined;
  const digest = keyDigest(key);
  const caller = configuration.callerByKeyDigest(digest);
  if (caller === undefined || !sameSecret(digest, caller.keySha256)) return undefined;
  return caller;
}
