import { createHash } from 'node:crypto';

/** Names for contents: equal names mean equal contents. */

/**
 * Characters of a document's address: 128 bits of its SHA-256 in base64url. Addresses guard against mixing and
 * damage, not against whoever publishes, who could publish anything; the manifest holds one for each section,
 * and half the length halves what each change costs.
 */
const ADDRESS_LENGTH = 22;

/** Address of a document of the published form. */
export function contentHash(text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, ADDRESS_LENGTH);
}

/** Digest of a root, as hex; the greater one stands when one version number has two contents. */
export function rootDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** The first 32 bits of a root's digest, as members carry them. */
export function shortDigest(digest: string): number {
  return Number.parseInt(digest.slice(0, 8), 16);
}
