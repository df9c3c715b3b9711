/** Small, fast, non-cryptographic hashes for ordering and comparing; never use them for secrets. */

/* eslint-disable no-bitwise -- the hash is defined on 32-bit words */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the FNV-1a hash of the text's UTF-16 code units with a final mix, as an unsigned 32-bit number. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns the exclusive or of two unsigned 32-bit numbers; used to update the digest of a set member by member. */
export function xorHashes(left: number, right: number): number {
  return (left ^ right) >>> 0;
}
