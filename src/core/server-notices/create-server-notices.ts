import type { Clock } from '../clock';
import type { Logger } from '../events';
import { createDepartures } from './departures';
import type { DeparturesOptions } from './departures';
import { SERVER_NOTICE_EVENTS } from './events';
import { createPauses } from './pauses';
import type { AnswerNotice, StatedDeparture, StatedPause } from './types';

/** What backend servers state in their answers about the requests after them. */
export interface ServerNotices {
  /** Applies what an answer states. */
  observe(notice: AnswerNotice): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Returns the time until a request may be sent to a server, ms; 0 if it may be sent now. */
  waitMs(incarnationId: string): number;
  /** Records that a request is sent to a server. */
  recordSent(incarnationId: string): void;
  /** Sends what is due to other instances, and checks servers whose pause is over. Must be called regularly. */
  runDue(): void;
  /** Number of servers that have stated their departure. */
  leavingCount(): number;
  /** Number of servers that get no requests because of a pause that they asked for. */
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
  /** Sends a health check to a server; its answer is passed to `observe`. */
  readonly checkHealth: (incarnationId: string) => void;
}

/** Maximum length of a malformed value in a log line, characters. */
const MAX_LOGGED_CHARACTERS = 40;

/** Creates an empty record. */
export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, logger } = options;
  const nowMs = () => clock.monotonicMs();
  const pauses = createPauses();
  const malformedIds = new Set<string>();

  const departures = createDepartures({
    ...options,
    nowMs,
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

  const observePause = ({ incarnationId, pause, isRefusal, source }: AnswerNotice): void => {
    if (pause.kind === 'pause') {
      const { waitMs } = pause;
      if (!pauses.begin(incarnationId, waitMs, nowMs())) return;
      logger.event(SERVER_NOTICE_EVENTS.paused, { server: incarnationId, source, waitMs });
    } else if (isRefusal) pauses.recordRefusal(incarnationId, nowMs());
    else if (pauses.recordAnswer(incarnationId, nowMs())) {
      logger.event(SERVER_NOTICE_EVENTS.resumed, { server: incarnationId, source });
    }
  };

  return {
    observe(notice) {
      const { incarnationId, departure, pause } = notice;
      logMalformed(incarnationId, departure);
      logMalformed(incarnationId, pause);
      if (departure.kind === 'leaving') departures.record(incarnationId, notice.source);
      observePause(notice);
    },
    receive: departures.receive,
    waitMs: (incarnationId) => pauses.waitMs(incarnationId, nowMs()),
    recordSent: (incarnationId) => pauses.recordSent(incarnationId, nowMs()),
    runDue() {
      departures.runDue();
      for (const incarnationId of pauses.takeDueChecks(nowMs())) options.checkHealth(incarnationId);
    },
    leavingCount: departures.count,
    pausedCount: () => pauses.count(nowMs()),
    keepOnly(incarnationIds) {
      departures.keepOnly(incarnationIds);
      pauses.keepOnly(incarnationIds);
      for (const id of malformedIds) if (!incarnationIds.has(id)) malformedIds.delete(id);
    },
  };
}
