import type { Logger } from '../events';
import { SERVER_LIMIT_EVENTS } from './events';
import type { LimitSource, LimitedServer, NamedLimit } from './types';

/** What is known of the limit of one server. */
export interface KnownLimit extends LimitedServer {
  /** Requests per second that all instances together may send; undefined if the server has no limit any more. */
  readonly perSecond: number | undefined;
  /** When the server sent the answer that says so, monotonic ms. */
  readonly observedAtMs: number;
}

/** An answer of a server, as far as it concerns its limit. */
export interface LimitObservation {
  readonly server: LimitedServer;
  readonly named: NamedLimit;
  readonly observedAtMs: number;
  readonly source: LimitSource;
}

/** The limits that backend servers have named. */
export interface KnownLimits {
  /** Applies an observation unless a newer one is known. Returns whether it changed the limit. */
  observe(observation: LimitObservation): boolean;
  /** Returns what is known of a server; undefined if it has never named a limit. */
  get(incarnationId: string): KnownLimit | undefined;
  /** Returns the servers that have a limit now. */
  limited(): readonly KnownLimit[];
  /** Removes what is known of all servers but these. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Minimum time between two log lines about changes of one limit, ms; a server may change it with each answer. */
const CHANGE_LOG_INTERVAL_MS = 1_000;
/** Maximum length of a malformed value in a log line, characters. */
const MAX_LOGGED_CHARACTERS = 40;

/** Creates an empty record of limits. */
export function createKnownLimits(logger: Logger): KnownLimits {
  const known = new Map<string, KnownLimit>();
  const changeLoggedAtMs = new Map<string, number>();
  const malformedIds = new Set<string>();

  const logMalformed = (server: LimitedServer, text: string): void => {
    // Once for each start of a server: it may name the same value in every answer.
    if (malformedIds.has(server.incarnationId)) return;
    malformedIds.add(server.incarnationId);
    logger.event(SERVER_LIMIT_EVENTS.malformed, {
      server: server.incarnationId,
      service: server.service,
      value: text.slice(0, MAX_LOGGED_CHARACTERS),
    });
  };

  const logChange = (
    before: number | undefined,
    after: KnownLimit,
    source: LimitSource,
    sinceMs: number,
  ): void => {
    const { incarnationId, service, perSecond, observedAtMs } = after;
    const fields = {
      server: incarnationId,
      service,
      perSecond,
      before,
      source,
      previousAgeMs: Math.round(sinceMs),
    };
    if (before === undefined) logger.event(SERVER_LIMIT_EVENTS.learned, fields);
    else if (perSecond === undefined) logger.event(SERVER_LIMIT_EVENTS.ended, fields);
    else {
      const loggedAtMs = changeLoggedAtMs.get(incarnationId) ?? -Infinity;
      if (observedAtMs - loggedAtMs < CHANGE_LOG_INTERVAL_MS) return;
      logger.event(SERVER_LIMIT_EVENTS.changed, fields);
    }
    changeLoggedAtMs.set(incarnationId, observedAtMs);
  };

  return {
    observe({ server, named, observedAtMs, source }) {
      if (named.kind === 'malformed') {
        logMalformed(server, named.text);
        return false;
      }
      const { incarnationId, service } = server;
      const before = known.get(incarnationId);
      if (before === undefined && named.kind === 'none') return false;
      if (before !== undefined && before.observedAtMs > observedAtMs) return false;
      const perSecond = named.kind === 'limit' ? named.perSecond : undefined;
      const after = { incarnationId, service, perSecond, observedAtMs };
      known.set(incarnationId, after);
      if (before?.perSecond === perSecond) return false;
      logChange(
        before?.perSecond,
        after,
        source,
        observedAtMs - (before?.observedAtMs ?? observedAtMs),
      );
      return true;
    },
    get: (incarnationId) => known.get(incarnationId),
    limited: () => [...known.values()].filter(({ perSecond }) => perSecond !== undefined),
    keepOnly(incarnationIds) {
      for (const ids of [known, changeLoggedAtMs, malformedIds]) {
        for (const id of ids.keys()) if (!incarnationIds.has(id)) ids.delete(id);
      }
    },
  };
}
