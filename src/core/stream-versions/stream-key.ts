import { createHash } from 'node:crypto';
import type { StreamIdentity } from './types';

/** Length of a key in bytes; collisions among streams of a few minutes are out of the question. */
const KEY_BYTES = 16;

/**
 * Returns the key of a stream. It depends on the route and the account, so that a caller learns nothing of the streams
 * of others by naming their ids. Each part goes in as JSON, so that different parts never form the same text.
 */
export function streamKey({ route, account, requestId }: StreamIdentity): string {
  const text = JSON.stringify([route, account ?? null, requestId]);
  return createHash('sha256').update(text).digest().subarray(0, KEY_BYTES).toString('base64url');
}
