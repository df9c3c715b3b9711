import type { Clock } from '../clock';
import type { Logger } from '../events';
import { createDepartures } from './departures';
import type { DeparturesOptions } from './departures';
import { SERVER_NOTICE_EVENTS } from './events';
import type { AnswerNotice, StatedDeparture, StatedPause } from './types';

/** What backend servers state in their answers about the requests after them. */
export interface ServerNotices {
  /** Applies what an answer states. */
  observe(notice: AnswerNotice): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Sends what is due to other instances. Must be called regularly. */
  runDue(): void;
  /** Number of servers that have stated their departure. */
  leavingCount(): number;
  /** Number of servers in a pause that they asked for. */
  pausedCount(): number;
  /** Drops the state of all servers but these. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of {@link createServerNotices}. */
export interface ServerNoticesOptions extends Pick<DeparturesOptions, 'self' | 'peers' | 'send'> {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
  /** Called once for each server that has stated its departure, to this instance or to another one. */
  readonly onDeparture: (incarnationId: string) => void;
}

/** Maximum length of a malformed value in a log line, characters. */
const MAX_LOGGED_CHARACTERS = 40;

/** Creates an empty record. */
export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, logger } = options;
  const pausedUntilMs = new Map<string, number>();
  const malformedIds = new Set<string>();

  const departures = createDepartures({
    ...options,
    nowMs: () => clock.monotonicMs(),
    onDeparture(incarnationId, source) {
      logger.event(SERVER_NOTICE_EVENTS.leaving, { server: incarnationId, source });
      options.onDeparture(incarnationId);
    },
  });

  const logMalformed = (server: string, statement: StatedDeparture | StatedPause): void => {
    // Once for each start of a server: it may send the same value in every answer.
    if (statement.kind !== 'malformed' || malformedIds.has(server)) return;
    malformedIds.add(server);
    const value = statement.text.slice(0, MAX_LOGGED_CHARACTERS);
    logger.event(SERVER_NOTICE_EVENTS.malformed, { server, value });
  };

  const recordPause = ({ incarnationId, source }: AnswerNotice, waitMs: number): void => {
    const nowMs = clock.monotonicMs();
    const previousUntilMs = pausedUntilMs.get(incarnationId) ?? 0;
    pausedUntilMs.set(incarnationId, Math.max(previousUntilMs, nowMs + waitMs));
    if (previousUntilMs > nowMs) return;
    logger.event(SERVER_NOTICE_EVENTS.paused, { server: incarnationId, source, waitMs });
  };

  /** Records an answer that asks for no pause: one that still runs is over only with its time. */
  const recordNoPause = ({ incarnationId }: AnswerNotice): void => {
    const untilMs = pausedUntilMs.get(incarnationId);
    if (untilMs === undefined || untilMs > clock.monotonicMs()) return;
    pausedUntilMs.delete(incarnationId);
    logger.event(SERVER_NOTICE_EVENTS.resumed, { server: incarnationId });
  };

  return {
    observe(notice) {
      const { incarnationId, departure, pause } = notice;
      logMalformed(incarnationId, departure);
      logMalformed(incarnationId, pause);
      if (departure.kind === 'leaving') departures.record(incarnationId, notice.source);
      if (pause.kind === 'pause') recordPause(notice, pause.waitMs);
      else recordNoPause(notice);
    },
    receive: departures.receive,
    runDue: departures.runDue,
    leavingCount: departures.count,
    pausedCount: () =>
      [...pausedUntilMs.values()].filter((untilMs) => untilMs > clock.monotonicMs()).length,
    keepOnly(incarnationIds) {
      departures.keepOnly(incarnationIds);
      for (const ids of [pausedUntilMs, malformedIds]) {
        for (const id of ids.keys()) if (!incarnationIds.has(id)) ids.delete(id);
      }
    },
  };
}
