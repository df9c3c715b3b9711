import { createCounterSelector, createRegionReports } from '../shared-budget';
import type { CounterPeer } from '../shared-budget';
import { parseDepartureMessage, serializeDepartureMessage } from './departure-messages';
import type { NoticeSource } from './types';

/** The servers of a region that have stated their departure, as all its instances learn of them. */
export interface Departures {
  /** Records that a server has stated its departure to this instance. */
  record(incarnationId: string, source: Exclude<NoticeSource, 'instance'>): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Sends what is due to other instances. Must be called regularly. */
  runDue(): void;
  /** Number of servers that have stated their departure. */
  count(): number;
  /** Drops the state of all servers but these. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of {@link createDepartures}. */
export interface DeparturesOptions {
  readonly nowMs: () => number;
  readonly self: () => CounterPeer;
  /** Returns the other instances of the region that may be alive, suspected ones included. */
  readonly peers: () => readonly CounterPeer[];
  readonly send: (address: string, text: string) => void;
  /** Called once for each server. */
  readonly onDeparture: (incarnationId: string, source: NoticeSource) => void;
}

/** Time for which an instance reports a departure to the counter of the server, ms: a message may be lost. */
const REPORT_FOR_MS = 5_000;
/** Time for which the counter announces a departure, ms: far longer than a server that is leaving keeps running. */
const ANNOUNCE_FOR_MS = 60_000;

/**
 * Interval between two announcements while a departure is new, and for how long it is, ms. A lost message would leave an
 * instance sending to the server for as long.
 */
const NEWS_INTERVAL_MS = 500;
const NEWS_MS = 3_000;
/** Interval between two announcements later, ms, by which instances that have just started learn of the departure. */
const ANNOUNCE_INTERVAL_MS = 3_000;

interface Departure {
  readonly incarnationId: string;
  readonly isObservedHere: boolean;
  readonly changedAtMs: number;
}

/**
 * Creates an empty record.
 *
 * A server states its departure only in its answers, so the instances that send it little would go on for longest. The
 * published state shows the departure to all, but not while its source cannot be read.
 */
export function createDepartures(options: DeparturesOptions): Departures {
  const { nowMs, self } = options;
  const departures = new Map<string, Departure>();
  const counters = createCounterSelector({ self, peers: options.peers, nowMs });
  const counterOf = (incarnationId: string) => counters.select(incarnationId, self().region)[0];
  const isCounter = (incarnationId: string) =>
    counterOf(incarnationId)?.instanceId === self().instanceId;
  const reports = createRegionReports<Departure>({
    counterAddress: (incarnationId) =>
      isCounter(incarnationId) ? undefined : counterOf(incarnationId)?.address,
    isCounter,
    addresses: () => options.peers().map(({ address }) => address),
    valueOf: () => undefined,
    reportForMs: () => REPORT_FOR_MS,
    announceForMs: () => ANNOUNCE_FOR_MS,
    announceIntervalMs: ({ changedAtMs }, atMs) =>
      atMs - changedAtMs < NEWS_MS ? NEWS_INTERVAL_MS : ANNOUNCE_INTERVAL_MS,
    send: (address, facts) => {
      const servers = facts.map(({ incarnationId }) => incarnationId);
      options.send(address, serializeDepartureMessage({ kind: 'serversLeaving', servers }));
    },
  });

  const learn = (incarnationId: string, source: NoticeSource): void => {
    if (departures.has(incarnationId)) return;
    const isObservedHere = source !== 'instance';
    departures.set(incarnationId, { incarnationId, isObservedHere, changedAtMs: nowMs() });
    options.onDeparture(incarnationId, source);
  };

  return {
    record: learn,
    receive(text) {
      const message = parseDepartureMessage(text);
      message?.servers.forEach((incarnationId) => learn(incarnationId, 'instance'));
      return message !== undefined;
    },
    runDue() {
      if (departures.size > 0) reports.sendDue([...departures.values()], nowMs());
    },
    count: () => departures.size,
    keepOnly(incarnationIds) {
      for (const id of departures.keys()) if (!incarnationIds.has(id)) departures.delete(id);
      reports.keepOnly(incarnationIds);
    },
  };
}
