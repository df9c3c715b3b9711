import type { Logger } from '../events';
import { SERVER_LIMIT_EVENTS } from './events';
import type { LimitObservation, LimitSource } from './types';

/** What is known of the limit of one server. */
export interface KnownLimit {
  /** Identifies one start of the server. */
  readonly incarnationId: string;
  /** Requests per second that all instances together may send; undefined if the server has no limit any more. */
  readonly perSecond: number | undefined;
  /** When the answer arrived that says so, monotonic ms. */
  readonly observedAtMs: number;
  /** Whether this instance has received that answer itself. */
  readonly isObservedHere: boolean;
  /** When the limit took its current value here, monotonic ms. */
  readonly changedAtMs: number;
  /** The limit before the current value; undefined for none. */
  readonly previousPerSecond: number | undefined;
}

/** The limits that backend servers have named. */
export interface KnownLimits {
  /** Applies an observation unless a newer one is known. Returns whether it changed the limit. */
  observe(observation: LimitObservation, nowMs: number): boolean;
  /** Returns what is known of a server; undefined if it has never named a limit. */
  get(incarnationId: string): KnownLimit | undefined;
  /** Returns the servers that name a limit or have named one. */
  all(): readonly KnownLimit[];
  /** Removes what is known of all servers but these. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Minimum time between two log lines about changes of one limit, ms; a server may change it with each answer. */
const CHANGE_LOG_INTERVAL_MS = 1_000;
/** Maximum length of a malformed value in a log line, characters. */
const MAX_LOGGED_CHARACTERS = 40;
/**
 * Time by which an observation of another instance has to be newer to change a limit, ms. Its age does not include the
 * time for which the message waited to be read.
 */
const MIN_NEWER_BY_MS = 200;

/** Creates an empty record of limits. */
export function createKnownLimits(logger: Logger): KnownLimits {
  const known = new Map<string, KnownLimit>();
  const changeLoggedAtMs = new Map<string, number>();
  const malformedIds = new Set<string>();
  /** Servers that have named a limit in the answer to a health check; of others, such an answer says nothing. */
  const namingInHealthChecks = new Set<string>();

  const logMalformed = (server: string, text: string): void => {
    // Once for each start of a server: it may name the same value in every answer.
    if (malformedIds.has(server)) return;
    malformedIds.add(server);
    const value = text.slice(0, MAX_LOGGED_CHARACTERS);
    logger.event(SERVER_LIMIT_EVENTS.malformed, { server, value });
  };

  const logChange = (after: KnownLimit, source: LimitSource, previousAgeMs: number): void => {
    const { incarnationId, perSecond, previousPerSecond, changedAtMs } = after;
    const fields = {
      server: incarnationId,
      perSecond,
      previousPerSecond,
      source,
      ageMs: Math.round(changedAtMs - after.observedAtMs),
      previousAgeMs: Math.round(previousAgeMs),
    };
    if (previousPerSecond === undefined) logger.event(SERVER_LIMIT_EVENTS.learned, fields);
    else if (perSecond === undefined) logger.event(SERVER_LIMIT_EVENTS.ended, fields);
    else {
      const loggedAtMs = changeLoggedAtMs.get(incarnationId) ?? -Infinity;
      if (changedAtMs - loggedAtMs < CHANGE_LOG_INTERVAL_MS) return;
      logger.event(SERVER_LIMIT_EVENTS.changed, fields);
    }
    changeLoggedAtMs.set(incarnationId, changedAtMs);
  };

  /** Returns whether an observation says more than what is known. */
  const isNewer = (
    before: KnownLimit,
    { observedAtMs, source }: LimitObservation,
    isSameValue: boolean,
  ): boolean => {
    const minNewerByMs = source === 'instance' && !isSameValue ? MIN_NEWER_BY_MS : 0;
    return observedAtMs >= before.observedAtMs + minNewerByMs;
  };

  return {
    observe(observation, nowMs) {
      const { incarnationId, named, observedAtMs, source } = observation;
      if (named.kind === 'malformed') {
        logMalformed(incarnationId, named.text);
        return false;
      }
      if (source === 'healthCheck') {
        if (named.kind === 'limit') namingInHealthChecks.add(incarnationId);
        else if (!namingInHealthChecks.has(incarnationId)) return false;
      }
      const perSecond = named.kind === 'limit' ? named.perSecond : undefined;
      const before = known.get(incarnationId);
      if (before === undefined && perSecond === undefined) return false;
      const isSameValue = before !== undefined && before.perSecond === perSecond;
      if (before !== undefined && !isNewer(before, observation, isSameValue)) return false;
      const isObservedHere = source !== 'instance';
      if (isSameValue) {
        known.set(incarnationId, { ...before, observedAtMs, isObservedHere });
        return false;
      }
      const after = {
        incarnationId,
        perSecond,
        observedAtMs,
        isObservedHere,
        changedAtMs: nowMs,
        previousPerSecond: before?.perSecond,
      };
      known.set(incarnationId, after);
      logChange(after, source, nowMs - (before?.observedAtMs ?? nowMs));
      return true;
    },
    get: (incarnationId) => known.get(incarnationId),
    all: () => [...known.values()],
    keepOnly(incarnationIds) {
      for (const ids of [known, changeLoggedAtMs, malformedIds, namingInHealthChecks]) {
        for (const id of ids.keys()) if (!incarnationIds.has(id)) ids.delete(id);
      }
    },
  };
}
