import { createHash } from 'node:crypto';

/** The SHA-256 digest of a key, in hexadecimal; the configuration in memory holds digests and no keys. */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
