import type { Refusal, RefusalReason } from './types';

/** Statuses of refusals for which a later retry does not help. */
const STATUS_BY_FINAL_REASON: Partial<Record<RefusalReason, number>> = {
  noSuchRoute: 404,
  unknownKey: 401,
  headersTooLarge: 431,
  bodyTooLarge: 413,
  malformedRequest: 400,
};

/**
 * Returns the HTTP status of a refusal. 503 promises that the request has not run, so that the
 * caller may send it again. If the request may have run, the status is 504 after a timeout and 502
 * otherwise, which promise nothing.
 */
export function statusOf({ reason, outcome }: Refusal): number {
  const final = STATUS_BY_FINAL_REASON[reason];
  if (final !== undefined) return final;
  if (outcome === 'notRun') return reason === 'overQuota' ? 429 : 503;
  return reason === 'timedOut' ? 504 : 502;
}

/** Units of the retry-after header: hundredths of a second. */
const MS_PER_UNIT = 10;
const UNITS_PER_S = 100;

/**
 * Formats the value of the retry-after header, in seconds with fractions. Rounded up, since a caller that returns earlier
 * is refused again.
 */
export function retryAfterText(retryAfterMs: number): string {
  return (Math.ceil(retryAfterMs / MS_PER_UNIT) / UNITS_PER_S).toFixed(2);
}
