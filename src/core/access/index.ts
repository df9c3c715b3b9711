import { createHash, timingSafeEqual } from 'node:crypto';
import type { Caller, CompiledConfiguration } from '../configuration';
import { keyDigest } from '../key-digest';

export { keyDigest } from '../key-digest';

/** Authenticates callers by their keys. */

const BEARER = /^Bearer +(\S+)$/i;

/** Returns the key in an `Authorization: Bearer` header; undefined if there is none. */
export function bearerKey(authorization: string | undefined): string | undefined {
  return authorization === undefined ? undefined : BEARER.exec(authorization)?.[1];
}

/** Compares two secrets in constant time, so that the time does not reveal where they differ. */
export function secretsMatch(given: string, expected: string): boolean {
  const givenDigest = createHash('sha256').update(given).digest();
  const expectedDigest = createHash('sha256').update(expected).digest();
  return timingSafeEqual(givenDigest, expectedDigest);
}

/**
 * Returns the caller that the key of the header belongs to; undefined if there is none.
 *
 * The lookup uses the digest of the key: its duration depends only on the digest of what was sent, which reveals
 * nothing about any key. The digests are then compared in constant time.
 */
export function authenticate(
  authorization: string | undefined,
  configuration: CompiledConfiguration,
): Caller | undefined {
  const key = bearerKey(authorization);
  if (key === undefined) return undefined;
  const digest = keyDigest(key);
  const caller = configuration.callerByKeyDigest(digest);
  if (caller === undefined || !secretsMatch(digest, caller.keySha256)) return undefined;
  return caller;
}
