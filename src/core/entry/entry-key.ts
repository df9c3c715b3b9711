import type { Caller } from '../configuration';
import { hashPair } from '../rendezvous';

/** Sustained rate of a caller up to which one instance is enough for it, requests/s. */
const RATE_OF_ONE_KEY = 100;
/** Most parts that one caller is split into. */
const MOST_KEYS = 64;

/**
 * The key by which a caller's entry is chosen. A small caller has one, so that its prefixes stay with one
 * instance. A caller that may send more than one instance should take is split by the address that it asks
 * from: each of its machines keeps to one instance, and together they use several.
 */
export function entryKey(caller: Caller, clientAddress: string): string {
  const wanted = Math.ceil(caller.limits.requestsPerSecond / RATE_OF_ONE_KEY);
  const keys = Math.min(MOST_KEYS, Math.max(1, wanted));
  if (keys === 1) return caller.id;
  return `${caller.id}/${Math.floor(hashPair(caller.id, clientAddress) * keys)}`;
}
