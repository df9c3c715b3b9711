import { createHmac } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { ModelDemand } from '../placement';

/**
 * Returns digests of the parts of a request's prompt that other requests may share, without repetitions. The last part
 * belongs to the request itself. A digest is keyed, so that nobody who reads a log can find a part by trying likely ones.
 */
export type SuspectParts = (demand: ModelDemand | undefined) => readonly string[];

const KEY_PURPOSE = 'coltsfootworks prompt part digest';
/** Length of a digest, base64 characters: 72 bits. */
const DIGEST_CHARACTERS = 12;
/** Digests that are kept; computing one takes microseconds. */
const MAX_CACHED_DIGESTS = 10_000;
/** Length of a part's id up to which its digest is kept, characters. */
const MAX_CACHED_ID_CHARACTERS = 64;
/** Parts of one request that are looked at; further ones are ignored. */
const MAX_PARTS = 256;

/** Returns the same text for all spellings of a hexadecimal number. */
function normalize(partId: string): string {
  return partId.toLowerCase().replace(/^0+(?=.)/u, '');
}

/** Creates digests with the secret that all instances share. */
export function createSuspectParts(peerSecret: string): SuspectParts {
  const key = createHmac('sha256', peerSecret).update(KEY_PURPOSE).digest();
  const cache = new LRUCache<string, string>({ max: MAX_CACHED_DIGESTS });

  const digestOf = (partId: string): string => {
    const cached = cache.get(partId);
    if (cached !== undefined) return cached;
    const digest = createHmac('sha256', key)
      .update(normalize(partId))
      .digest('base64url')
      .slice(0, DIGEST_CHARACTERS);
    if (partId.length <= MAX_CACHED_ID_CHARACTERS) cache.set(partId, digest);
    return digest;
  };

  return (demand) => {
    const shared = demand?.parts.slice(0, -1).slice(0, MAX_PARTS) ?? [];
    return [...new Set(shared.map(({ partId }) => digestOf(partId)))];
  };
}
