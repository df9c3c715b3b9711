import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { GossipStore } from '../gossip';
import type { RandomSource } from '../random';
import { choosePartners } from './choose-partners';
import { MEMBERSHIP_EVENTS } from './events';
import { addressesOutside, chooseExplored } from './explore';
import { logChange } from './log-change';
import type { ExchangeMessage, MembershipTransport } from './messages';
import { createPartnerTasks } from './partner-tasks';
import { NEW_LINK, afterAnswer } from './peer-link';
import type { PeerLink } from './peer-link';
import { createSelfRecord } from './self-record';
import { createSuspicionPolicy } from './suspicion-policy';
import {
  ALONE_QUICK_FOR_MS,
  ALONE_RETRY_MS,
  EXPLORE_INTERVAL_MS,
  PAUSE_MS,
  TICK_MS,
} from './timing';
import type {
  MemberChange,
  MemberRecord,
  MembershipChanges,
  MembershipView,
  SelfDescription,
} from './types';
import { createView } from './view';

/** What membership is built from. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly transport: MembershipTransport;
  readonly gossip: GossipStore;
  /** Wall clock at the start of the process, which names it. */
  readonly incarnation: number;
  readonly seedPeers: readonly string[];
  /** This instance as it stands now. */
  readonly describeSelf: () => SelfDescription;
}

/** Membership with its tasks. */
export interface Membership extends MembershipView, MembershipChanges, AsyncDisposable {
  self(): MemberRecord;
  members(): readonly MemberRecord[];
  usablePeers(): readonly MemberRecord[];
  /** Addresses at which other instances may be found, whether they are known to live or not. */
  candidateAddresses(): readonly string[];
  /** Resolves once the first addresses have been tried. */
  whenExplored(): Promise<void>;
  /** Whether the settings name nobody else and nobody else has been heard of. */
  isAlone(): boolean;
  /** Starts the tasks. */
  start(): void;
  /** Takes in what a peer sent, and returns what to answer. */
  receive(message: ExchangeMessage): ExchangeMessage;
  /** Says to all from now on that this instance is leaving. */
  markLeaving(): void;
  /** Exchanges at once with partners that `concerns` picks, because there is news for them. */
  prompt(concerns: (partner: MemberRecord) => boolean): void;
  /** Calls back for each instance that sent or answered, with its record as of then. */
  onContact(listener: (record: MemberRecord) => void): Disposable;
}

/** Partners are chosen again this long after a change, so that many changes at once cost one choice. */
const RECHOOSE_AFTER_MS = 50;
/** Addresses tried at once by an instance that knows nobody. */
const FIRST_TRIES = 5;
/** Times that a name must be taken back before two live processes are the likely cause. */
const NAME_USED_TWICE_AFTER = 3;

/** Membership over exchanges with a few partners. */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, random, logger, transport, gossip, seedPeers, describeSelf } = options;
  const self = createSelfRecord({
    describeSelf,
    incarnation: options.incarnation,
    processToken: 1 + Math.floor(random.next() * (2 ** 32 - 2)),
  });
  const policy = createSuspicionPolicy();
  const links = new Map<string, PeerLink>();
  const changeListeners = new Set<(change: MemberChange) => void>();
  const contactListeners = new Set<(record: MemberRecord) => void>();
  const stopping = new AbortController();
  const tasks: Promise<void>[] = [];
  /** Addresses outside the view to which a try is under way. */
  const trying = new Set<string>();
  let endFirstRound = () => {};
  const firstRound = new Promise<void>((resolve) => {
    endFirstRound = resolve;
  });
  let observedAtMs = clock.monotonicMs();
  let pauses = 0;
  let rechoosing = false;
  let started = false;

  const view = createView({
    self,
    gossip,
    nowMs: clock.monotonicMs(),
    onChange(change) {
      const { member, previousStatus } = change;
      const isDenial = previousStatus === 'suspect' && member.status === 'alive';
      if (isDenial) policy.noteDenial(member.instanceId, clock.monotonicMs());
      logChange(logger, change);

      scheduleRechoosing();
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after both exist
      partners.wake((partner) => partner.instanceId !== member.instanceId);
      for (const listener of changeListeners) listener(change);
    },
  });
  const { table } = view;

  const noteNewLife = (reason: string) => {
    const { life } = self.current();
    logger.event(MEMBERSHIP_EVENTS.newLife, { life, reason });
    if (self.overtakenCount() === NAME_USED_TWICE_AFTER) {
      logger.event(MEMBERSHIP_EVENTS.nameUsedTwice, { peer: self.current().instanceId });
    }
  };

  /** Notices that this process stood still, before anything that was known is acted on. */
  const observe = (): number => {
    const nowMs = clock.monotonicMs();
    const gapMs = nowMs - observedAtMs;
    observedAtMs = nowMs;
    if (!started || gapMs <= PAUSE_MS) return nowMs;
    pauses += 1;
    policy.clearFailures();
    table.restartSuspicions(nowMs);
    logger.event(MEMBERSHIP_EVENTS.pauseNoticed, { pausedMs: gapMs });
    if (self.notePause(gapMs)) noteNewLife('pause');
    return nowMs;
  };

  const read = (message: ExchangeMessage) => {
    const nowMs = observe();
    const { life } = self.current();
    const hadToContradict = view.read(message, nowMs);
    if (self.current().life !== life) noteNewLife('heard of itself');
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after both exist
    if (hadToContradict) partners.wake(() => true);
    if (message.from.processToken === self.current().processToken) return;
    for (const listener of contactListeners) listener(message.from);
  };

  /** Exchanges once with whoever is at `peerAddress`; returns who that was. */
  const exchange = async (peerAddress: string): Promise<string> => {
    const link = links.get(peerAddress) ?? NEW_LINK;
    const { message, sent } = view.writeRequest(link, observe(), clock.unixMs());
    const answer = await transport.exchange(peerAddress, message);
    links.set(peerAddress, afterAnswer(link, answer, sent));
    read(answer);
    return answer.from.instanceId;
  };

  const exchangeWithPartner = async ({ instanceId, peerAddress }: MemberRecord) => {
    const pausesBefore = pauses;
    try {
      const answeredBy = await exchange(peerAddress);
      if (answeredBy === instanceId) {
        policy.noteAnswer(instanceId);
        return true;
      }
    } catch (error) {
      const reason = errorText(error);
      logger.event(MEMBERSHIP_EVENTS.exchangeFailed, { peer: instanceId, reason });
    }
    const nowMs = observe();
    if (stopping.signal.aborted || pauses !== pausesBefore) return false;
    if (policy.noteFailure(instanceId, nowMs)) table.suspect(instanceId, nowMs);
    return false;
  };

  const partners = createPartnerTasks({
    clock,
    random,
    current: (instanceId) => table.get(instanceId),
    exchange: exchangeWithPartner,
    // What is not tried any more must not count as unreachable for ever: the partition that cut it off heals.
    onDropped: (instanceId) => policy.noteAnswer(instanceId),
  });

  const livingOthers = () => table.others().filter((member) => member.status !== 'dead');

  const rechoose = () => {
    rechoosing = false;
    if (!stopping.signal.aborted) partners.keep(choosePartners(self.current(), livingOthers()));
  };

  function scheduleRechoosing(): void {
    if (rechoosing || !started) return;
    rechoosing = true;
    clock.schedule(clock.monotonicMs() + RECHOOSE_AFTER_MS, rechoose);
  }

  const forgetLinks = () => {
    const addresses = new Set(table.others().map((member) => member.peerAddress));
    for (const address of links.keys()) if (!addresses.has(address)) links.delete(address);
  };

  const runTicks = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const nowMs = observe();
      table.tick(nowMs);
      view.restateLoad(nowMs);
      gossip.forgetExpired();
      await sleepUntil(clock, nowMs + TICK_MS, stopping.signal);
    }
  };

  const tryAddress = async (peerAddress: string): Promise<void> => {
    if (trying.has(peerAddress)) return;
    trying.add(peerAddress);
    try {
      await exchange(peerAddress);
    } catch (error) {
      const reason = errorText(error);
      logger.event(MEMBERSHIP_EVENTS.exchangeFailed, { peer: peerAddress, reason });
    } finally {
      trying.delete(peerAddress);
    }
  };

  const exploreInput = () => ({
    self: self.current(),
    others: table.others(),
    knownAddresses: seedPeers,
  });

  const tryFirstAddresses = async (): Promise<void> => {
    const shuffled = addressesOutside(exploreInput())
      .map((address) => ({ address, order: random.next() }))
      .sort((left, right) => left.order - right.order);
    await Promise.all(shuffled.slice(0, FIRST_TRIES).map(({ address }) => tryAddress(address)));
  };

  /**
   * Tries the first addresses again and again until one answers. A try at a machine without power hangs for as long as
   * a call may take, and must not keep the others waiting.
   */
  const findSomebody = async (): Promise<void> => {
    const quickUntilMs = clock.monotonicMs() + ALONE_QUICK_FOR_MS;
    const isAlone = () => livingOthers().length === 0 && !stopping.signal.aborted;
    void tryFirstAddresses().then(endFirstRound);
    while (isAlone() && clock.monotonicMs() < quickUntilMs) {
      await sleepUntil(clock, clock.monotonicMs() + ALONE_RETRY_MS, stopping.signal);
      if (isAlone()) void tryFirstAddresses();
    }
  };

  const runExplorer = async (): Promise<void> => {
    const restedMs = () => EXPLORE_INTERVAL_MS * (0.5 + random.next());
    await findSomebody();
    for (let turn = 0; !stopping.signal.aborted; turn += 1) {
      const isAlone = livingOthers().length === 0;
      if (isAlone) await tryFirstAddresses();
      const address = chooseExplored({ ...exploreInput(), turn }, random);
      if (address !== undefined && !isAlone) await tryAddress(address);
      forgetLinks();
      endFirstRound();
      const restMs = livingOthers().length === 0 ? restedMs() / 5 : restedMs();
      await sleepUntil(clock, clock.monotonicMs() + restMs, stopping.signal);
    }
  };

  return {
    self: () => self.current(),
    members: () => [self.current(), ...table.others()],
    usablePeers: () =>
      table
        .others()
        .filter((member) => member.status === 'alive' && !policy.isUnreachable(member.instanceId)),
    candidateAddresses: () => [
      ...livingOthers().map((member) => member.peerAddress),
      ...addressesOutside(exploreInput()),
    ],
    whenExplored: () => firstRound,
    isAlone: () => livingOthers().length + addressesOutside(exploreInput()).length === 0,
    start() {
      started = true;
      observedAtMs = clock.monotonicMs();
      tasks.push(runTicks(), runExplorer());
    },
    receive(message) {
      read(message);
      return view.writeAnswer(message, clock.monotonicMs(), clock.unixMs());
    },
    markLeaving() {
      self.markLeaving();
      partners.wake(() => true);
    },
    prompt: (concerns) => partners.wake(concerns),
    onContact(listener) {
      contactListeners.add(listener);
      return {
        [Symbol.dispose]() {
          contactListeners.delete(listener);
        },
      };
    },
    onChange(listener) {
      changeListeners.add(listener);
      return {
        [Symbol.dispose]() {
          changeListeners.delete(listener);
        },
      };
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      endFirstRound();
      await Promise.all([...tasks, partners[Symbol.asyncDispose]()]);
    },
  };
}
