import type { Clock } from '../clock';
import type { FleetView } from './fleet-view';
import type { StreamVersionMessage, ToldStream } from './messages';
import type { VersionHolder } from './types';
import type { LedgerEntry, VersionLedger } from './version-ledger';
import type { RequestedService } from './version-search';

/** Tells other instances which versions began streams. */
export interface StreamTeller {
  /** Tells the instances that hold a stream, now or once they have to know it. */
  tell(key: string, requested: RequestedService): void;
  /** Tells the instances that hold a stream now, whatever they have to know. */
  tellNow(key: string, entry: LedgerEntry): void;
  /** Tells of what others have to know since the last call, and instances that have started since. */
  runDue(): void;
  /** Forgets streams that can no longer be taken up. */
  removeExpired(): void;
}

/** Options of {@link createStreamTeller}. */
export interface StreamTellerOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly ledger: Pick<VersionLedger, 'find' | 'newest'>;
  readonly fleet: Pick<FleetView, 'takeStarted'>;
  /** Returns the other instances that hold a stream. */
  readonly holdersOf: (key: string) => readonly VersionHolder[];
  /** Returns whether others have to know which version began the streams of any service. */
  readonly isAnyToldElsewhere: () => boolean;
  /** Returns whether others have to know which version began the streams of a route and service. */
  readonly isToldElsewhere: (requested: RequestedService) => boolean;
  readonly send: (address: string, message: StreamVersionMessage) => void;
}

/** Maximum streams in one message, so that it fits into a datagram. */
const MAX_STREAMS_TOLD = 8;
/** Maximum streams of which an instance that has just started is told, the newest ones. */
const MAX_TOLD_AT_START = 1_000;

/** Creates a teller that has told nothing. */
export function createStreamTeller(options: StreamTellerOptions): StreamTeller {
  const { clock, ledger, fleet, holdersOf, isAnyToldElsewhere, isToldElsewhere, send } = options;
  const nowMs = () => clock.monotonicMs();
  /** Streams that began here while nobody had to know them. */
  const untold = new Map<string, RequestedService>();

  const toTold = (key: string, entry: LedgerEntry): readonly ToldStream[] =>
    entry.softwareVersions.map((softwareVersion) => ({
      key,
      service: entry.service,
      softwareVersion,
      ageMs: Math.round(nowMs() - entry.begunAtMs),
      keepForMs: Math.round(Math.max(0, entry.expiresAtMs - nowMs())),
    }));

  const sendTold = (address: string, streams: readonly ToldStream[]): void => {
    for (let first = 0; first < streams.length; first += MAX_STREAMS_TOLD) {
      const some = streams.slice(first, first + MAX_STREAMS_TOLD);
      send(address, { kind: 'streamsBegan', streams: some });
    }
  };

  const tellHolders = (told: readonly ToldStream[]): void => {
    const byAddress = new Map<string, ToldStream[]>();
    for (const stream of told) {
      for (const { address } of holdersOf(stream.key)) {
        byAddress.set(address, [...(byAddress.get(address) ?? []), stream]);
      }
    }
    for (const [address, streams] of byAddress) sendTold(address, streams);
  };

  const tellUntold = (): void => {
    if (!isAnyToldElsewhere()) return;
    const told: ToldStream[] = [];
    for (const [key, requested] of untold) {
      if (!isToldElsewhere(requested)) continue;
      untold.delete(key);
      const entry = ledger.find(key, nowMs());
      if (entry !== undefined) told.push(...toTold(key, entry));
    }
    tellHolders(told);
  };

  /** Tells instances that have just started of the streams that they hold from now on. */
  const tellStarted = (): void => {
    const started = new Set(fleet.takeStarted().map(({ instanceId }) => instanceId));
    if (started.size === 0) return;
    for (const [key, entry] of ledger.newest(MAX_TOLD_AT_START, nowMs())) {
      if (untold.has(key)) continue;
      for (const { instanceId, address } of holdersOf(key)) {
        if (started.has(instanceId)) sendTold(address, toTold(key, entry));
      }
    }
  };

  const tellNow: StreamTeller['tellNow'] = (key, entry) => tellHolders(toTold(key, entry));

  return {
    tell(key, requested) {
      // What changes from now on is noticed by the next call of `runDue`, which tells of these.
      if (!isToldElsewhere(requested)) {
        untold.set(key, requested);
        return;
      }
      const entry = ledger.find(key, nowMs());
      if (entry !== undefined) tellNow(key, entry);
    },
    tellNow,
    runDue() {
      tellUntold();
      tellStarted();
    },
    removeExpired() {
      for (const key of untold.keys()) {
        if (ledger.find(key, nowMs()) === undefined) untold.delete(key);
      }
    },
  };
}
