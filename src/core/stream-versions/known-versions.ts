import type { Clock } from '../clock';
import { isLater } from '../state-sync';
import type { FollowedChanges } from '../state-sync';
import { MAX_VERSIONS_TOLD } from './messages';
import type { KnownVersionsAnswer, StreamVersionMessage } from './messages';
import { createPeerQuestions } from './peer-questions';
import type { VersionHolder } from './types';
import { VERSION_RETENTION_MS } from './version-history';
import type { VersionHistory } from './version-history';

/** For which time an instance knows all software versions that have served. */
export interface KnownVersions {
  /** Returns whether no version can have served within the retention without being known here. */
  areComplete(): boolean;
  /** Like `areComplete`, or another instance, which follows published state, has said so a moment ago. */
  areVouchedFor(): boolean;
  /** Returns whether they may become complete: an instance, or the source of published state, has not answered yet. */
  mayBecomeComplete(): boolean;
  /** Time for which all versions are known here, ms, at most the retention; undefined before the first read. */
  knownForMs(): number | undefined;
  /** Whether this instance may not have heard of all other instances yet. */
  isDiscovering(): boolean;
  /** Asks other instances while something is unknown. Must be called regularly. */
  runDue(): void;
  /** Answers an instance that asks what is known here. */
  answer(ask: Extract<StreamVersionMessage, { kind: 'knownVersionsAsk' }>): void;
  /** Takes over what another instance knows; an answer that is late or repeated is ignored. */
  receiveAnswer(answer: KnownVersionsAnswer): void;
}

/** Options of {@link createKnownVersions}. */
export interface KnownVersionsOptions {
  readonly clock: Clock;
  readonly self: () => VersionHolder;
  readonly peers: () => readonly VersionHolder[];
  readonly history: Pick<VersionHistory, 'all' | 'recordSeen'>;
  /** Services to which routes have led, in place of versions. */
  readonly targets: Pick<VersionHistory, 'all' | 'recordSeen'>;
  readonly tableVersion: () => number;
  readonly followedChanges: () => FollowedChanges;
  readonly send: (address: string, message: StreamVersionMessage) => void;
}

/** Time after its start within which an instance hears of all others that run, ms. */
const DISCOVERY_MS = 1_500;
/** Interval between questions, ms; doubles up to the maximum while nobody knows more. */
const FIRST_ASK_INTERVAL_MS = 150;
const MAX_ASK_INTERVAL_MS = 5_000;
/** Interval between questions while the published state is not followed, ms: shorter than an answer is valid. */
const STALE_ASK_INTERVAL_MS = 1_000;
/** Time for which the answer of an instance that follows the published state is valid, ms: as for its own watches. */
const VOUCHED_MS = 1_700;

/** Knowledge of the time before the own first read, taken over from another instance. */
interface AdoptedKnowledge {
  /** Monotonic time since which all versions are known. */
  readonly sinceMs: number;
  /** The beginning of the own knowledge to which it was joined; with a later one there is a gap. */
  readonly ownSinceMs: number;
}

/**
 * Creates the knowledge of an instance that has just started.
 *
 * Its own knowledge begins with its first complete read of published state. What was before follows from the source, if
 * that proves it, or from another instance that has followed the changes up to the beginning of the own knowledge.
 */
export function createKnownVersions(options: KnownVersionsOptions): KnownVersions {
  const { clock, self, peers, history, targets, tableVersion, followedChanges, send } = options;
  const nowMs = () => clock.monotonicMs();
  const startedAtMs = nowMs();
  let adopted: AdoptedKnowledge | undefined;
  /** Whether an instance knows more, but not yet all changes up to the own first read. */
  let isOneBehind = false;
  let nextAskAtMs = -Infinity;
  let askIntervalMs = FIRST_ASK_INTERVAL_MS;
  /** Time until which an instance that follows the published state has told of all versions, monotonic ms. */
  let vouchedUntilMs = -Infinity;

  const knownSinceMs = (): number | undefined => {
    const { allKnownSinceMs } = followedChanges();
    if (allKnownSinceMs === undefined) return undefined;
    return adopted?.ownSinceMs === allKnownSinceMs
      ? Math.min(adopted.sinceMs, allKnownSinceMs)
      : allKnownSinceMs;
  };

  const knownForMs = (): number | undefined => {
    const sinceMs = knownSinceMs();
    return sinceMs === undefined ? undefined : Math.min(nowMs() - sinceMs, VERSION_RETENTION_MS);
  };

  const isPastKnown = (): boolean => (knownForMs() ?? 0) >= VERSION_RETENTION_MS;
  const areComplete = (): boolean => followedChanges().isCurrent && isPastKnown();
  const isDiscovering = (): boolean => nowMs() - startedAtMs < DISCOVERY_MS;

  const questions = createPeerQuestions({
    clock,
    selfId: () => self().instanceId,
    peers,
    send: (to, askId) => send(to, { kind: 'knownVersionsAsk', askId, address: self().address }),
  });

  return {
    areComplete,
    areVouchedFor: () => areComplete() || nowMs() < vouchedUntilMs,
    mayBecomeComplete() {
      const { isCurrent, isPastPending } = followedChanges();
      if (!isCurrent || isPastPending || isDiscovering()) return true;
      return isOneBehind || questions.isAnswerExpected();
    },
    knownForMs,
    isDiscovering,
    runDue() {
      const { isCurrent } = followedChanges();
      if (areComplete() || nowMs() < nextAskAtMs) return;
      askIntervalMs = isDiscovering()
        ? FIRST_ASK_INTERVAL_MS
        : Math.min(isCurrent ? MAX_ASK_INTERVAL_MS : STALE_ASK_INTERVAL_MS, askIntervalMs * 2);
      nextAskAtMs = nowMs() + askIntervalMs;
      isOneBehind = false;
      questions.ask();
    },
    answer({ address, askId: answeredId }) {
      const { knownUpTo } = followedChanges();
      const agoMs = (seenAtMs: number) => Math.max(0, Math.round(nowMs() - seenAtMs));
      const versions = history.all(nowMs()).map(({ service, softwareVersion, seenAtMs }) => ({
        service,
        softwareVersion,
        seenAgoMs: agoMs(seenAtMs),
      }));
      const formerTargets = targets
        .all(nowMs())
        .filter(({ seenAtMs }) => seenAtMs !== Infinity)
        .map(({ service: route, softwareVersion: service, seenAtMs }) => ({
          route,
          service,
          seenAgoMs: agoMs(seenAtMs),
        }));
      const isWhole = Math.max(versions.length, formerTargets.length) <= MAX_VERSIONS_TOLD;
      send(address, {
        kind: 'knownVersionsAnswer',
        askId: answeredId,
        knownForMs: isWhole ? Math.floor(knownForMs() ?? 0) : 0,
        isCurrent: isWhole && followedChanges().isCurrent,
        era: knownUpTo?.era ?? 0,
        revision: knownUpTo?.revision ?? 0,
        versions: versions.slice(0, MAX_VERSIONS_TOLD),
        tableVersion: tableVersion(),
        formerTargets: formerTargets.slice(0, MAX_VERSIONS_TOLD),
      });
    },
    receiveAnswer(answer) {
      const { knownForMs: otherForMs, era, revision, versions } = answer;
      const askedAtMs = questions.recordAnswer(answer.askId);
      if (askedAtMs === undefined) return;
      for (const { service, softwareVersion, seenAgoMs } of versions) {
        history.recordSeen(service, softwareVersion, nowMs() - seenAgoMs);
      }
      for (const { route, service, seenAgoMs } of answer.formerTargets) {
        targets.recordSeen(route, service, nowMs() - seenAgoMs);
      }
      // With another table in force, routes may lead elsewhere.
      const isOfSameTable = answer.tableVersion === tableVersion();
      if (answer.isCurrent && isOfSameTable && otherForMs >= VERSION_RETENTION_MS) {
        vouchedUntilMs = askedAtMs + VOUCHED_MS;
      }
      const { allKnownSinceMs, knownFrom } = followedChanges();
      const sinceMs = nowMs() - otherForMs;
      if (allKnownSinceMs === undefined || knownFrom === undefined) return;
      if (era !== knownFrom.era || sinceMs >= (knownSinceMs() ?? Infinity)) return;
      // A change after those that the other one knows and before the own first read would be known to neither.
      if (isLater(knownFrom, { era, revision })) isOneBehind = true;
      else adopted = { sinceMs, ownSinceMs: allKnownSinceMs };
    },
  };
}
