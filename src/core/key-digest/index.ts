import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest of a key, in hexadecimal. The configuration in memory holds digests instead of keys. */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
