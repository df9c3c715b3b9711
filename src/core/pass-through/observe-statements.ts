import type { BrittleServers } from '../brittle-servers';
import type { Clock } from '../clock';
import type { AnswerHead } from '../exchanges';
import type { ServerLimits } from '../server-limits';
import { parseRetryAfter } from '../server-notices';
import type { ServerNotices, StatedPause } from '../server-notices';
import type { KnownServer } from '../server-registry';
import type { HeaderDialect } from './types';

/** Dependencies of `observeStatements`. */
export interface StatementObservers {
  readonly clock: Pick<Clock, 'monotonicMs' | 'unixMs'>;
  readonly dialect: HeaderDialect;
  readonly limits: Pick<ServerLimits, 'observe'>;
  readonly notices: Pick<ServerNotices, 'observe'>;
  readonly brittle: Pick<BrittleServers, 'observe'>;
}

/**
 * Status of refusals that concern the server, and may ask for a pause. A 429 concerns the caller: if it paused the
 * server, a single caller above its quota would take the server out of use for all others.
 */
export const UNAVAILABLE_STATUS = 503;

/** Returns the pause that an answer asks for. */
export function readPause(
  { status, headers }: AnswerHead,
  { clock, dialect }: Pick<StatementObservers, 'clock' | 'dialect'>,
): StatedPause {
  return status === UNAVAILABLE_STATUS
    ? parseRetryAfter(headers[dialect.retryAfter], clock.unixMs())
    : { kind: 'none' };
}

/** Records what an answer of a server states about the requests after it. */
export function observeStatements(
  observers: StatementObservers,
  server: KnownServer,
  head: AnswerHead,
  source: 'answer' | 'healthCheck',
): void {
  const { clock, dialect, limits, notices, brittle } = observers;
  const { incarnationId } = server;
  brittle.observe(server, dialect.readBrittleness(head.headers));
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
    isRefusal: head.status === UNAVAILABLE_STATUS,
    source,
  });
}
