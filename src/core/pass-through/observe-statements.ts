import type { Clock } from '../clock';
import type { AnswerHead } from '../exchanges';
import type { ServerLimits } from '../server-limits';
import { parseRetryAfter } from '../server-notices';
import type { ServerNotices, StatedPause } from '../server-notices';
import type { HeaderDialect } from './types';

/** Dependencies of `observeStatements`. */
export interface StatementObservers {
  readonly clock: Pick<Clock, 'monotonicMs' | 'unixMs'>;
  readonly dialect: HeaderDialect;
  readonly limits: Pick<ServerLimits, 'observe'>;
  readonly notices: Pick<ServerNotices, 'observe'>;
}

/** Statuses of refusals, which may ask for a pause. In other answers, `Retry-After` has another meaning. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Returns the pause that an answer asks for. */
export function readPause(
  { status, headers }: AnswerHead,
  { clock, dialect }: Pick<StatementObservers, 'clock' | 'dialect'>,
): StatedPause {
  return REFUSAL_STATUSES.has(status)
    ? parseRetryAfter(headers[dialect.retryAfter], clock.unixMs())
    : { kind: 'none' };
}

/** Returns whether a server has not run a request; a health check has no other answer that says so than its status. */
function isRefusal({ status, headers }: AnswerHead, { notRun }: HeaderDialect): boolean {
  return headers[notRun] !== undefined || REFUSAL_STATUSES.has(status);
}

/** Records what an answer of a server states about the requests after it. */
export function observeStatements(
  observers: StatementObservers,
  incarnationId: string,
  head: AnswerHead,
  source: 'answer' | 'healthCheck',
): void {
  const { clock, dialect, limits, notices } = observers;
  limits.observe({
    incarnationId,
    named: dialect.readLimit(head.headers),
    observedAtMs: clock.monotonicMs(),
    source,
  });
  notices.observe({
    incarnationId,
    departure: dialect.readDeparture(head.headers),
    pause: readPause(head, observers),
    isRefusal: isRefusal(head, dialect),
    source,
  });
}
