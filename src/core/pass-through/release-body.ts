import { SMALL_BODY_BYTES } from '../held-bytes';
import type { SendableDestination } from './destinations';
import type { InboundRequest } from './types';

/** What decides whether a body may be let go once its request has run. */
export interface BodyUse {
  /** Where the request has run. */
  readonly to: Pick<SendableDestination, 'kind'>;
  readonly openAttempts: number;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  readonly hasAttemptsLeft: boolean;
}

/** Returns whether the body of a request that has run can't be needed again, whatever becomes of its answer. */
export function isBodyDone(
  { body }: Pick<InboundRequest, 'body'>,
  { to, openAttempts, mayRepeat, hasAttemptsLeft }: BodyUse,
): boolean {
  if (body.isReleased || body.length <= SMALL_BODY_BYTES || openAttempts > 1) return false;
  // Another instance may turn out to have used fewer attempts than it was given.
  return !mayRepeat || (to.kind !== 'peer' && !hasAttemptsLeft);
}
