import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { RouteTable, RouteTableStore } from '../host-routes';
import type { FollowedChanges } from '../state-sync';
import { STREAM_VERSION_EVENTS } from './events';
import { createFleetView } from './fleet-view';
import { createKnownVersions } from './known-versions';
import { parseStreamVersionMessage, serializeStreamVersionMessage } from './messages';
import type { StreamVersionMessage, ToldStream } from './messages';
import { createRouteTargets } from './route-targets';
import { selectHolders } from './select-holders';
import { streamKey } from './stream-key';
import { createStreamTeller } from './stream-teller';
import type { BegunStream, FoundVersion, StreamIdentity, VersionHolder } from './types';
import { createVersionAsks } from './version-asks';
import { VERSION_RETENTION_MS, createVersionHistory } from './version-history';
import type { VersionedServers } from './version-history';
import { createVersionLedger } from './version-ledger';
import type { LedgerEntry } from './version-ledger';
import { createVersionSearch } from './version-search';
import type { RequestedService } from './version-search';

/** Knows which software version began each stream that callers may take up, here and at other instances. */
export interface StreamVersions {
  /** Records a stream whose first event is about to be passed to its caller, and tells other instances. */
  recordBegun(stream: BegunStream): void;
  /**
   * Looks for the version that began a stream; `identity` is undefined if the caller does not name the stream. `decide`
   * may be called before this returns.
   */
  find(
    identity: StreamIdentity | undefined,
    requested: RequestedService,
    decide: (found: FoundVersion) => void,
  ): void;
  /** Records a route table that has come into force, or was in force before this instance started. */
  recordRoutes(table: RouteTable): void;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Tells others of streams and asks them for versions, as far as either is due. Must be called regularly. */
  runDue(): void;
  /** Number of streams whose versions are kept here. */
  size(): number;
  /** Number of streams that callers have taken up, by how their version was found. */
  takenUp(): ReadonlyMap<string, number>;
}

/** Options of {@link createStreamVersions}. */
export interface StreamVersionsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: () => VersionHolder;
  /** Returns the other instances of all regions that may be alive. */
  readonly peers: () => readonly VersionHolder[];
  readonly servers: VersionedServers;
  readonly routes: Pick<RouteTableStore, 'current'>;
  /** Returns for which time all published changes are known here. */
  readonly followedChanges: () => FollowedChanges;
  readonly send: (address: string, text: string) => void;
}

/** Maximum time for which the version of a stream is kept, ms. */
const MAX_KEEP_MS = VERSION_RETENTION_MS;
/** Time for which a version is kept after its caller gives up, ms: a request that is on its way may still arrive. */
const EXTRA_KEEP_MS = 1_000;
/** Interval between removals of expired entries, ms. */
const SWEEP_INTERVAL_MS = 5_000;
/** Maximum versions of a service, and characters of a value of a caller, in a log line. */
const MAX_LOGGED_VERSIONS = 8;
const MAX_LOGGED_CHARACTERS = 64;

/** Creates a record without streams. */
export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const { clock, logger, self } = options;
  const nowMs = () => clock.monotonicMs();
  const ledger = createVersionLedger();
  const history = createVersionHistory(options.servers);
  const routeTargets = createRouteTargets(options.routes);
  const targets = createVersionHistory(routeTargets);
  const takenUp = new Map<string, number>();
  let severalServices: ReadonlySet<string> = new Set();
  let severalRoutes: ReadonlySet<string> = new Set();
  let nextSweepAtMs = 0;
  const fleet = createFleetView(clock, options.peers);

  const holdersOf = (key: string): readonly VersionHolder[] => {
    const { instanceId } = self();
    const all = [...fleet.others(), self()];
    return selectHolders(key, all).filter((holder) => holder.instanceId !== instanceId);
  };

  const send = (address: string, message: StreamVersionMessage): void =>
    options.send(address, serializeStreamVersionMessage(message));

  const asks = createVersionAsks({ clock, self, holdersOf, send });
  const known = createKnownVersions({
    clock,
    self,
    peers: fleet.others,
    history,
    targets,
    tableVersion: routeTargets.tableVersion,
    followedChanges: options.followedChanges,
    send,
  });

  const teller = createStreamTeller({
    clock,
    ledger,
    fleet,
    holdersOf,
    isAnyToldElsewhere: () =>
      severalServices.size > 0 || severalRoutes.size > 0 || !known.areComplete(),
    isToldElsewhere: ({ route, service }) =>
      severalServices.has(service) || severalRoutes.has(route) || !known.areComplete(),
    send,
  });

  const receiveTold = ({ key, service, softwareVersion, ageMs, keepForMs }: ToldStream): void => {
    history.recordSeen(service, softwareVersion, nowMs() - ageMs);
    ledger.record(key, {
      service,
      softwareVersion,
      begunAtMs: nowMs() - ageMs,
      expiresAtMs: nowMs() + Math.min(MAX_KEEP_MS, keepForMs),
    });
  };

  const answerAsk = (ask: Extract<StreamVersionMessage, { kind: 'streamVersionAsk' }>): void => {
    const entry = ledger.find(ask.key, nowMs());
    send(ask.address, {
      kind: 'streamVersionAnswer',
      askId: ask.askId,
      service: entry?.service ?? '',
      softwareVersions: [...(entry?.softwareVersions ?? [])],
      ageMs: entry === undefined ? 0 : Math.round(nowMs() - entry.begunAtMs),
    });
  };

  const search = createVersionSearch({
    clock,
    ledger,
    history,
    targets,
    known,
    asks,
    onAsked(key, entry) {
      const { service, begunAtMs, softwareVersions } = entry;
      const expiresAtMs = nowMs() + MAX_KEEP_MS;
      for (const softwareVersion of softwareVersions) {
        ledger.record(key, { service, softwareVersion, begunAtMs, expiresAtMs });
      }
      // Instances that held it may be gone, and others hold it from now on.
      teller.tellNow(key, { ...entry, expiresAtMs });
    },
  });

  /** Records the version of a stream, and tells the instances that hold it if they have to know it. */
  const keep = (
    key: string,
    route: string,
    entry: Omit<LedgerEntry, 'softwareVersions'> & { readonly softwareVersion: string },
  ): void => {
    ledger.record(key, entry);
    teller.tell(key, { route, service: entry.service });
  };

  const receiveMessage = (message: StreamVersionMessage): void => {
    switch (message.kind) {
      case 'streamsBegan':
        message.streams.forEach(receiveTold);
        return;
      case 'streamVersionAsk':
        answerAsk(message);
        return;
      case 'streamVersionAnswer':
        asks.receiveAnswer(message);
        return;
      case 'knownVersionsAsk':
        known.answer(message);
        return;
      case 'knownVersionsAnswer':
        known.receiveAnswer(message);
        return;
      default:
        message satisfies never;
    }
  };

  const followServices = (): void => {
    const several = history.servicesWithSeveral(nowMs());
    for (const service of several) {
      if (severalServices.has(service)) continue;
      const versions = [...history.recent(service, nowMs())].slice(0, MAX_LOGGED_VERSIONS);
      logger.event(STREAM_VERSION_EVENTS.several, { service, versions });
    }
    for (const service of severalServices) {
      if (!several.has(service)) logger.event(STREAM_VERSION_EVENTS.single, { service });
    }
    severalServices = several;
    severalRoutes = targets.servicesWithSeveral(nowMs());
  };

  return {
    recordBegun({ identity, service, softwareVersion, deadlineAtMs }) {
      const begunAtMs = nowMs();
      const expiresAtMs = Math.min(deadlineAtMs + EXTRA_KEEP_MS, begunAtMs + MAX_KEEP_MS);
      keep(streamKey(identity), identity.route, {
        service,
        softwareVersion,
        begunAtMs,
        expiresAtMs,
      });
    },
    find(identity, requested, decide) {
      const { route, service } = requested;
      const startedAtMs = nowMs();
      const knownForMs = known.knownForMs();
      const key = identity === undefined ? undefined : streamKey(identity);
      search.find(key, requested, (found) => {
        if (found.kind === 'onlyVersion' && key !== undefined) {
          const { softwareVersion } = found;
          keep(key, route, {
            service,
            softwareVersion,
            begunAtMs: nowMs(),
            expiresAtMs: nowMs() + MAX_KEEP_MS,
          });
        }
        // Its caller may come back after the deadline of its first request.
        if (found.kind === 'known' && key !== undefined) ledger.extend(key, nowMs() + MAX_KEEP_MS);
        const how = found.kind === 'known' ? found.source : found.kind;
        takenUp.set(how, (takenUp.get(how) ?? 0) + 1);
        logger.event(STREAM_VERSION_EVENTS.taken, {
          service,
          resumedRequestId: identity?.requestId.slice(0, MAX_LOGGED_CHARACTERS),
          ...found,
          versions: [...history.recent(service, nowMs())].slice(0, MAX_LOGGED_VERSIONS),
          knownForMs: knownForMs === undefined ? undefined : Math.round(knownForMs),
          others: fleet.others().length,
          searchedMs: Math.round(nowMs() - startedAtMs),
        });
        decide(found);
      });
    },
    recordRoutes: (table) => routeTargets.record(table, nowMs()),
    receive(text) {
      const message = parseStreamVersionMessage(text);
      if (message !== undefined) receiveMessage(message);
      return message !== undefined;
    },
    runDue() {
      followServices();
      known.runDue();
      teller.runDue();
      if (nowMs() < nextSweepAtMs) return;
      nextSweepAtMs = nowMs() + SWEEP_INTERVAL_MS;
      ledger.removeExpired(nowMs());
      teller.removeExpired();
    },
    size: ledger.size,
    takenUp: () => takenUp,
  };
}
