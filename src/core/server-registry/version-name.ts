import { createHash } from 'node:crypto';

/** Version texts that serve as their own names: they are valid in header values and short in log lines. */
const PLAIN_VERSION = /^[!-~]{1,64}$/u;
const DIGEST_CHARACTERS = 16;

/**
 * Returns the name of an announced software version: the text itself if it is short and visible ASCII, otherwise a
 * digest of it. Names of different texts differ, except by a collision of digests.
 */
export function versionName(text: string): string {
  if (PLAIN_VERSION.test(text) && !text.startsWith('sha256:')) return text;
  const digest = createHash('sha256').update(text).digest('base64url');
  return `sha256:${digest.slice(0, DIGEST_CHARACTERS)}`;
}
