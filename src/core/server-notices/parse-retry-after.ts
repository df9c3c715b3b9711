import type { StatedPause } from './types';

/** A decimal number of seconds below a billion; servers also send fractions. */
const SECONDS = /^[0-9]{1,9}(?:\.[0-9]{1,9})?$/u;
/** The date format of HTTP: `Sun, 06 Nov 1994 08:49:37 GMT`. */
const HTTP_DATE =
  /^[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9]{2}:[0-9]{2}:[0-9]{2} GMT$/u;
const MS_PER_SECOND = 1_000;

function pauseOf(waitMs: number): StatedPause {
  return waitMs > 0 ? { kind: 'pause', waitMs } : { kind: 'none' };
}

/**
 * Parses the value of a `Retry-After` header: a number of seconds or an HTTP date. A header that occurs several times is
 * malformed. A date is compared with this machine's clock.
 */
export function parseRetryAfter(
  value: string | string[] | undefined,
  nowUnixMs: number,
): StatedPause {
  if (value === undefined) return { kind: 'none' };
  const text = typeof value === 'string' ? value.trim() : value.join(', ');
  if (SECONDS.test(text)) return pauseOf(Number(text) * MS_PER_SECOND);
  const atUnixMs = HTTP_DATE.test(text) ? Date.parse(text) : NaN;
  return Number.isNaN(atUnixMs) ? { kind: 'malformed', text } : pauseOf(atUnixMs - nowUnixMs);
}
