/** Bounds on the attempts of one request, and when a refused one may come back. */

/**
 * Maximum attempts that may fail before the request leaves this process; each uses another server.
 * The request is refused afterwards.
 */
export const MAX_UNSENT_ATTEMPTS = 4;
/** Retry delay after servers could not be reached: they are tried again within this time. */
export const UNSENT_RETRY_MS = 500;
/** Retry delay after a server was full: a slot of a busy server is free within this time. */
export const REJECTED_RETRY_MS = 400;
/**
 * Maximum number of brittle servers that have no free slot, after which the request is refused; each answer takes a round
 * trip within the region.
 */
export const MAX_SLOT_DENIALS = 3;
/** Retry delay after a timeout before anything was sent. */
export const TIMED_OUT_RETRY_MS = 1_000;
