import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { shortDigest } from '../configuration';
import type { ConfigurationStore } from '../configuration';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { MemberRecord, Membership } from '../membership';
import type { RandomSource } from '../random';
import { answerConfigurationRequest } from './answer-peer';
import { WATCHERS_PER_DOMAIN, shouldWatch, watchRank } from './choose-watchers';
import { askSome } from './ask-some';
import { CONFIGURATION_SYNC_EVENTS } from './events';
import { pullFromPeer } from './pull-from-peer';
import { offerFromService } from './read-from-service';
import type {
  AskPeer,
  ConfigurationAnswer,
  ConfigurationRequest,
  ConfigurationService,
} from './types';

/** What following the configuration needs. */
export interface ConfigurationSyncOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
  readonly membership: Pick<
    Membership,
    | 'self'
    | 'members'
    | 'candidateAddresses'
    | 'whenFirstContactsDone'
    | 'isAlone'
    | 'exchangeNow'
    | 'onContact'
  >;
  readonly askPeer: AskPeer;
  readonly service: ConfigurationService;
  /** Whether to serve by a version that nobody could vouch for. */
  readonly whenUnconfirmed: 'serve' | 'refuse';
}

/** What an instance tells the others of its configuration. */
export interface ConfigurationState {
  readonly configurationVersion: number;
  readonly configurationDigest: number;
  readonly configurationSinceUnixMs: number;
  readonly configurationConfirmed: boolean;
  readonly watching: boolean;
}

/** What an instance says that has no configuration yet. */
export const NO_CONFIGURATION: ConfigurationState = {
  configurationVersion: 0,
  configurationDigest: 0,
  configurationSinceUnixMs: 0,
  configurationConfirmed: false,
  watching: false,
};

/** Keeps the store at the highest version that can be learned of. */
export interface ConfigurationSync extends AsyncDisposable {
  /** Asks peers, then follows them and, where it is this instance's turn, the service. */
  start(): void;
  /** Whether peers have been asked, so that callers may be served by what is in force. */
  isSettled(): boolean;
  configurationState(): ConfigurationState;
  answer(request: ConfigurationRequest): ConfigurationAnswer;
}

/** How often an instance looks whether it is its turn to watch. */
const TURN_INTERVAL_MS = 1_000;
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 15_000;
/** Mean rest between two looks of an instance that does not watch: 340 of them make under three reads a second. */
const LOOK_INTERVAL_MS = 120_000;

/** Following of the configuration, not started yet. */
export function createConfigurationSync(options: ConfigurationSyncOptions): ConfigurationSync {
  const { clock, random, logger, store, membership, askPeer, service, whenUnconfirmed } = options;
  const stopping = new AbortController();
  const { signal } = stopping;
  const tasks: Promise<void>[] = [];
  let following: Promise<void> = Promise.resolve();
  const comparedDigests = new Set<string>();
  let sinceUnixMs = 0;
  let hasAsked = false;
  let isConfirmed = false;
  let isWatching = false;
  let shortSinceMs: number | undefined;
  let pulling = false;
  let pullNext: MemberRecord | undefined;

  const ownVersion = () => store.current()?.version ?? 0;
  const ownDigest = () => shortDigest(store.currentImage()?.digest ?? '0');

  const confirm = () => {
    if (isConfirmed) return;
    isConfirmed = true;
    logger.event(CONFIGURATION_SYNC_EVENTS.confirmed, { version: ownVersion() });
  };

  const changes = store.onChange(() => {
    sinceUnixMs = clock.unixMs();
    comparedDigests.clear();
    membership.exchangeNow((partner) => partner.configurationVersion < ownVersion());
  });

  const pull = async (peerAddress: string): Promise<void> => {
    try {
      await pullFromPeer({ store, askPeer }, peerAddress);
    } catch (error) {
      logger.event(CONFIGURATION_SYNC_EVENTS.pullFailed, {
        peer: peerAddress,
        reason: errorText(error),
      });
    }
  };

  /** Whether a member has in force what this instance should have. */
  const hasNews = (member: MemberRecord): boolean => {
    if (member.configurationVersion !== ownVersion()) {
      return member.configurationVersion > ownVersion();
    }
    if (member.configurationVersion === 0 || member.configurationDigest === ownDigest()) {
      return false;
    }
    // Two contents under one number: each pair is compared once, and the store raises the alarm and chooses.
    const key = `${member.configurationVersion} ${member.configurationDigest} ${ownDigest()}`;
    if (comparedDigests.has(key)) return false;
    comparedDigests.add(key);
    return true;
  };

  /** One pull at a time; what is heard meanwhile is looked at after it. */
  const followPeers = async (first: MemberRecord): Promise<void> => {
    pulling = true;
    for (let next: MemberRecord | undefined = first; next !== undefined && !signal.aborted;) {
      await pull(next.peerAddress);
      const heard: MemberRecord | undefined = pullNext;
      pullNext = undefined;
      next = heard !== undefined && hasNews(heard) ? heard : undefined;
    }
    pulling = false;
  };

  const contacts = membership.onContact((member) => {
    const isVouched = member.configurationConfirmed && member.configurationVersion <= ownVersion();
    if (isVouched) confirm();
    if (!hasAsked || !hasNews(member)) return;
    if (pulling) {
      const isHigher = member.configurationVersion >= (pullNext?.configurationVersion ?? 0);
      if (isHigher) pullNext = member;
      return;
    }
    following = followPeers(member);
  });

  /** A new instance takes the highest version that its peers have, before it serves. */
  const askAtStart = async (): Promise<void> => {
    await membership.whenFirstContactsDone();
    const answers = await askSome({ random, askPeer, addresses: membership.candidateAddresses() });
    for (const { peerAddress, answer } of answers) {
      if (answer.version > ownVersion()) await pull(peerAddress);
    }
    const isVouched = answers.some(
      ({ answer }) => answer.isConfirmed && answer.version <= ownVersion(),
    );
    // An instance whose settings and list name nobody is a whole site: nobody else could vouch.
    if (isVouched || membership.isAlone()) confirm();
    hasAsked = true;
  };

  const isTurn = (): boolean => {
    const own = membership.self();
    const candidates = membership
      .members()
      .filter((member) => member.status === 'alive' || member.instanceId === own.instanceId)
      .filter((member) => member.failureDomain === own.failureDomain);
    const nowMs = clock.monotonicMs();
    const rank = watchRank(own.instanceId, own.failureDomain, candidates);
    const isShort = rank.watchersBefore < WATCHERS_PER_DOMAIN;
    shortSinceMs = isShort ? (shortSinceMs ?? nowMs) : undefined;
    return shouldWatch(rank, shortSinceMs, nowMs);
  };

  const noteServiceFailure = (error: unknown) => {
    isWatching = false;
    logger.event(CONFIGURATION_SYNC_EVENTS.serviceUnavailable, { reason: errorText(error) });
  };

  const rest = (ms: number) => sleepUntil(clock, clock.monotonicMs() + ms, signal);

  /** Watches while it is this instance's turn. */
  const watchWhileTurn = async (): Promise<void> => {
    let index = '0';
    let retryMs = MIN_RETRY_MS;
    while (!signal.aborted && isTurn()) {
      try {
        const value = await service.watch(index, signal);
        const isFirst = index === '0';
        index = value.index;
        const isNew = await offerFromService({ store, service }, value.rootText, signal);
        // A version that appears while one watches shows that the service is not stale.
        if (isNew && !isFirst) confirm();
        isWatching = true;
        retryMs = MIN_RETRY_MS;
      } catch (error) {
        if (signal.aborted) return;
        noteServiceFailure(error);
        index = '0';
        await rest(retryMs * (0.5 + random.next()));
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
      }
    }
    isWatching = false;
  };

  const runWatch = async (): Promise<void> => {
    await askAtStart();
    if (!isConfirmed) {
      logger.event(CONFIGURATION_SYNC_EVENTS.unconfirmed, { version: ownVersion() });
    }
    while (!signal.aborted) {
      if (isTurn()) {
        logger.event(CONFIGURATION_SYNC_EVENTS.watchStarted);
        await watchWhileTurn();
        logger.event(CONFIGURATION_SYNC_EVENTS.watchEnded);
      }
      await rest(TURN_INTERVAL_MS);
    }
  };

  const look = async (): Promise<void> => {
    const { rootText } = await service.readRoot(signal);
    const hadVersion = ownVersion();
    const isNew = await offerFromService({ store, service }, rootText, signal);
    if (isNew && hadVersion > 0) {
      logger.event(CONFIGURATION_SYNC_EVENTS.watchersSilent, { version: ownVersion() });
    }
  };

  const runLooks = async (): Promise<void> => {
    while (!signal.aborted) {
      await rest(LOOK_INTERVAL_MS * (0.5 + random.next()));
      if (!signal.aborted && !isWatching) await look().catch(noteServiceFailure);
    }
  };

  return {
    start() {
      tasks.push(runWatch(), runLooks());
    },
    isSettled: () =>
      store.current() !== undefined && hasAsked && (isConfirmed || whenUnconfirmed === 'serve'),
    configurationState: () => ({
      configurationVersion: ownVersion(),
      configurationDigest: ownDigest(),
      configurationSinceUnixMs: sinceUnixMs,
      configurationConfirmed: isConfirmed,
      watching: isWatching,
    }),
    answer: (request) => answerConfigurationRequest(store.currentImage(), isConfirmed, request),
    async [Symbol.asyncDispose]() {
      stopping.abort();
      changes[Symbol.dispose]();
      contacts[Symbol.dispose]();
      await Promise.all([...tasks, following]);
    },
  };
}
