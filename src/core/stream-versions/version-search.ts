import type { Clock } from '../clock';
import type { KnownVersions } from './known-versions';
import type { FoundVersion } from './types';
import type { Reach, VersionAsks } from './version-asks';
import type { VersionHistory } from './version-history';
import type { LedgerEntry, VersionLedger } from './version-ledger';

type Decide = (found: FoundVersion) => void;

/** Looks for the version that began a stream. */
export interface VersionSearch {
  /** Looks for a stream by its key, undefined if its caller does not name it. `decide` may be called before this returns. */
  find(key: string | undefined, requested: RequestedService, decide: Decide): void;
}

/** The service that a request would get, and the route that leads there. */
export interface RequestedService {
  readonly route: string;
  readonly service: string;
}

/** Options of {@link createVersionSearch}. */
export interface VersionSearchOptions {
  readonly clock: Clock;
  readonly ledger: Pick<VersionLedger, 'find'>;
  readonly history: Pick<VersionHistory, 'recent'>;
  /** Services to which routes have led, in place of versions. */
  readonly targets: Pick<VersionHistory, 'recent'>;
  readonly known: Pick<
    KnownVersions,
    'areComplete' | 'areVouchedFor' | 'mayBecomeComplete' | 'isDiscovering'
  >;
  readonly asks: Pick<VersionAsks, 'askRound'>;
  /** Called with what another instance knew of a stream. */
  readonly onAsked: (key: string, entry: LedgerEntry) => void;
}

/**
 * Rounds of questions, each answered "unknown" by all or by nobody in time before the next one begins. The last one
 * repeats the one before: a statement that was on its way then has arrived by now.
 */
const ROUNDS_WITH_SEVERAL: readonly Reach[] = ['region', 'all', 'all'];
/** Rounds of an instance that knows one version, and may not know of others. */
const ROUNDS_WITH_ONE: readonly Reach[] = ['region', 'all'];
/** Time for which a request waits until it is known whether there was one version only, ms. */
const MAX_WAIT_MS = 500;
/** Interval between looks at whether that is known, ms. */
const WAIT_STEP_MS = 50;

/** Returns what an entry says of the version that began its stream. */
function toFound(entry: LedgerEntry, source: 'here' | 'asked', nowMs: number): FoundVersion {
  const [softwareVersion, ...more] = entry.softwareVersions;
  if (softwareVersion === undefined || more.length > 0) {
    return { kind: 'unknown', mayBeKnownLater: false };
  }
  const ageMs = Math.max(0, Math.round(nowMs - entry.begunAtMs));
  return { kind: 'known', service: entry.service, softwareVersion, source, ageMs };
}

/**
 * Creates a search. What is known of the stream decides; else that one version alone has served, if that is known for
 * sure. An instance that sees one version may have started after the last server of another one had gone.
 */
export function createVersionSearch(options: VersionSearchOptions): VersionSearch {
  const { clock, ledger, history, targets, known, asks, onAsked } = options;
  const nowMs = () => clock.monotonicMs();
  /** Returns whether another version of the service, or another service of the route, has served lately. */
  const hasSeveral = ({ route, service }: RequestedService): boolean =>
    targets.recent(route, nowMs()).size > 1 || history.recent(service, nowMs()).size > 1;
  /** Returns the only version that has served lately; undefined if there are others or `isSure` is false. */
  const onlyVersion = (requested: RequestedService, isSure: boolean): string | undefined => {
    if (hasSeveral(requested) || !isSure) return undefined;
    const [version] = history.recent(requested.service, nowMs());
    return version;
  };

  /** Decides on a stream that nobody knows, once it is known whether there was one version only. */
  const decideUnknown = (
    key: string | undefined,
    requested: RequestedService,
    areAllAnswered: boolean,
    decide: Decide,
  ): void => {
    const giveUpAtMs = nowMs() + MAX_WAIT_MS;
    const look = (): void => {
      // The version may have been told here meanwhile.
      const entry = key === undefined ? undefined : ledger.find(key, nowMs());
      if (entry !== undefined) {
        decide(toFound(entry, 'here', nowMs()));
        return;
      }
      const softwareVersion = onlyVersion(requested, known.areVouchedFor());
      if (softwareVersion !== undefined) {
        decide({ kind: 'onlyVersion', softwareVersion });
        return;
      }
      const maySettle = !hasSeveral(requested) && known.mayBecomeComplete();
      if (maySettle && nowMs() < giveUpAtMs) {
        clock.schedule(nowMs() + WAIT_STEP_MS, look);
        return;
      }
      const mayBeKnownLater = maySettle || !areAllAnswered;
      decide({ kind: 'unknown', mayBeKnownLater });
    };
    look();
  };

  const askOthers = (key: string, requested: RequestedService, decide: Decide): void => {
    const rounds = hasSeveral(requested) ? ROUNDS_WITH_SEVERAL : ROUNDS_WITH_ONE;
    const runRound = (index: number, areAllAnswered: boolean): void => {
      const reach = rounds[index];
      if (reach === undefined) {
        decideUnknown(key, requested, areAllAnswered && !known.isDiscovering(), decide);
        return;
      }
      asks.askRound(key, reach, (entry, isAnswered) => {
        if (entry === undefined) {
          runRound(index + 1, isAnswered);
          return;
        }
        onAsked(key, entry);
        decide(toFound(entry, 'asked', nowMs()));
      });
    };
    runRound(0, true);
  };

  return {
    find(key, requested, decide) {
      const entry = key === undefined ? undefined : ledger.find(key, nowMs());
      // What another instance vouches for may be older than the stream, so that those that may hold it are asked first.
      const softwareVersion = onlyVersion(requested, known.areComplete());
      if (entry !== undefined) decide(toFound(entry, 'here', nowMs()));
      else if (softwareVersion !== undefined) decide({ kind: 'onlyVersion', softwareVersion });
      else if (key === undefined) decideUnknown(key, requested, true, decide);
      else askOthers(key, requested, decide);
    },
  };
}
