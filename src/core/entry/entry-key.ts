import type { Caller } from '../configuration';
import { hashPair } from '../rendezvous';

/** Maximum sustained rate of a caller for which one key, and so one instance, is enough, requests/s. */
const MAX_RATE_PER_KEY = 100;
/** Maximum number of keys that one caller is split into. */
const MAX_KEYS = 64;

/**
 * Returns the affinity key for a caller. A caller with a low rate limit has one key, so that its prefixes stay with one
 * instance. A caller that may send more than one instance should receive is split by client address: each of
 * its machines keeps to one instance, and together they use several.
 */
export function entryKey(caller: Caller, clientAddress: string): string {
  const wantedKeys = Math.ceil(caller.limits.requestsPerSecond / MAX_RATE_PER_KEY);
  const keys = Math.min(MAX_KEYS, Math.max(1, wantedKeys));
  if (keys === 1) return caller.id;
  return `${caller.id}/${Math.floor(hashPair(caller.id, clientAddress) * keys)}`;
}
