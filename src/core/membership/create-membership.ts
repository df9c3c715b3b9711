import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { GossipStore } from '../gossip';
import type { RandomSource } from '../random';
import { choosePartners } from './choose-partners';
import { MEMBERSHIP_EVENTS } from './events';
import { addressesNotAlive, chooseAddressToExplore } from './explore';
import { logChange } from './log-change';
import type { ExchangeMessage, MembershipTransport } from './messages';
import { createPartnerTasks } from './partner-tasks';
import { NEW_LINK, updateLink } from './peer-link';
import type { PeerLink } from './peer-link';
import { createSelfRecord } from './self-record';
import { createSuspicionPolicy } from './suspicion-policy';
import {
  ALONE_RETRY_DURATION_MS,
  ALONE_RETRY_INTERVAL_MS,
  EXPLORE_INTERVAL_MS,
  PAUSE_THRESHOLD_MS,
  TICK_INTERVAL_MS,
} from './timing';
import type {
  MemberChange,
  MemberRecord,
  MembershipChanges,
  MembershipView,
  SelfDescription,
} from './types';
import { createView } from './view';

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly transport: MembershipTransport;
  readonly gossip: GossipStore;
  /** Wall clock time at which the process started, which identifies it. */
  readonly incarnation: number;
  readonly seedPeers: readonly string[];
  /** Returns the current description of this instance. */
  readonly describeSelf: () => SelfDescription;
}

/** Membership view of this instance, together with the tasks that keep it up to date. */
export interface Membership extends MembershipView, MembershipChanges, AsyncDisposable {
  self(): MemberRecord;
  members(): readonly MemberRecord[];
  usablePeers(): readonly MemberRecord[];
  /** Returns addresses at which other instances may be found, whether or not they are known to be alive. */
  candidateAddresses(): readonly string[];
  /** Resolves once the first addresses have been contacted, with or without success. */
  whenFirstContactsDone(): Promise<void>;
  /** Maximum number of gossip statements that one partner has yet to be sent. */
  waitingStatements(): number;
  /** Returns whether no other instance is known, neither from the settings nor from messages. */
  isAlone(): boolean;
  /** Starts the tasks. */
  start(): void;
  /** Applies a message from a peer and returns the reply. */
  receive(message: ExchangeMessage): ExchangeMessage;
  /** Reports this instance as leaving from now on. */
  markLeaving(): void;
  /** Exchanges at once with the partners for which `isSelected` returns true, because there is an update for them. */
  exchangeNow(isSelected: (partner: MemberRecord) => boolean): void;
  /** Calls back for each message received from another instance, with that instance's current record. */
  onContact(listener: (record: MemberRecord) => void): Disposable;
}

/** Delay between a membership change and the new choice of partners, ms; combines changes that come together. */
const PARTNER_UPDATE_DELAY_MS = 50;
/** Number of addresses that an instance contacts at once while it knows no other instance. */
const MAX_FIRST_CONTACTS = 5;
/** Number of conflicts over the instance id after which two live processes are the likely cause. */
const DUPLICATE_ID_THRESHOLD = 3;

/** Creates a membership that spreads its view by exchanges with a few partners. */
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
  /** Addresses that are being contacted outside the exchanges with partners. */
  const addressesBeingContacted = new Set<string>();
  let resolveFirstRound = () => {};
  const firstRound = new Promise<void>((resolve) => {
    resolveFirstRound = resolve;
  });
  let lastCheckedAtMs = clock.monotonicMs();
  let pauseCount = 0;
  let isPartnerUpdateScheduled = false;
  let isStarted = false;

  const view = createView({
    self,
    gossip,
    nowMs: clock.monotonicMs(),
    onChange(change) {
      const { member, previousStatus } = change;
      const isRefutation = previousStatus === 'suspect' && member.status === 'alive';
      if (isRefutation) policy.recordRefutation(member.instanceId, clock.monotonicMs());
      logChange(logger, change);

      schedulePartnerUpdate();
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after both exist
      partners.wake((partner) => partner.instanceId !== member.instanceId);
      for (const listener of changeListeners) listener(change);
    },
  });
  const { table } = view;

  const logNewLife = (reason: string) => {
    const { life } = self.current();
    logger.event(MEMBERSHIP_EVENTS.newLife, { life, reason });
    if (self.idConflictCount() === DUPLICATE_ID_THRESHOLD) {
      logger.event(MEMBERSHIP_EVENTS.nameUsedTwice, { peer: self.current().instanceId });
    }
  };

  /** Returns the time. If this process was paused, first resets the state that is outdated by the pause. */
  const nowAfterPauseCheck = (): number => {
    const nowMs = clock.monotonicMs();
    const gapMs = nowMs - lastCheckedAtMs;
    lastCheckedAtMs = nowMs;
    if (!isStarted || gapMs <= PAUSE_THRESHOLD_MS) return nowMs;
    pauseCount += 1;
    policy.clearFailures();
    table.restartSuspicionTimeouts(nowMs);
    logger.event(MEMBERSHIP_EVENTS.pauseNoticed, { pausedMs: gapMs });
    if (self.recordPause(gapMs)) logNewLife('pause');
    return nowMs;
  };

  const applyMessage = (message: ExchangeMessage) => {
    const nowMs = nowAfterPauseCheck();
    const { life } = self.current();
    const hadToRefute = view.applyMessage(message, nowMs);
    if (self.current().life !== life) logNewLife('contradicted by a peer');
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after both exist
    if (hadToRefute) partners.wake(() => true);
    if (message.from.processToken === self.current().processToken) return;
    for (const listener of contactListeners) listener(message.from);
  };

  /** Exchanges once with the instance at `peerAddress`; returns the id of the instance that replied. */
  const exchange = async (peerAddress: string): Promise<string> => {
    const link = links.get(peerAddress) ?? NEW_LINK;
    const { message, senderState } = view.writeRequest(link, nowAfterPauseCheck(), clock.unixMs());
    const reply = await transport.exchange(peerAddress, message);
    links.set(peerAddress, updateLink(link, reply, senderState));
    applyMessage(reply);
    return reply.from.instanceId;
  };

  const exchangeWithPartner = async ({ instanceId, peerAddress }: MemberRecord) => {
    const pauseCountBefore = pauseCount;
    try {
      const repliedBy = await exchange(peerAddress);
      if (repliedBy === instanceId) {
        policy.recordReply(instanceId);
        return true;
      }
    } catch (error) {
      const reason = errorText(error);
      logger.event(MEMBERSHIP_EVENTS.exchangeFailed, { peer: instanceId, reason });
    }
    const nowMs = nowAfterPauseCheck();
    if (stopping.signal.aborted || pauseCount !== pauseCountBefore) return false;
    if (policy.recordFailure(instanceId, nowMs)) table.suspect(instanceId, nowMs);
    return false;
  };

  const partners = createPartnerTasks({
    clock,
    random,
    currentRecord: (instanceId) => table.get(instanceId),
    exchange: exchangeWithPartner,
    // A former partner is no longer contacted. Without this, its failures would keep it marked as unreachable after a
    // network partition has healed.
    onDropped: (instanceId) => policy.recordReply(instanceId),
  });

  const liveOthers = () => table.others().filter((member) => member.status !== 'dead');

  const updatePartners = () => {
    isPartnerUpdateScheduled = false;
    if (!stopping.signal.aborted) partners.update(choosePartners(self.current(), liveOthers()));
  };

  function schedulePartnerUpdate(): void {
    if (isPartnerUpdateScheduled || !isStarted) return;
    isPartnerUpdateScheduled = true;
    clock.schedule(clock.monotonicMs() + PARTNER_UPDATE_DELAY_MS, updatePartners);
  }

  const removeStaleLinks = () => {
    const addresses = new Set(table.others().map((member) => member.peerAddress));
    for (const address of links.keys()) if (!addresses.has(address)) links.delete(address);
  };

  const runTicks = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const nowMs = nowAfterPauseCheck();
      table.tick(nowMs);
      view.publishLoad(nowMs);
      gossip.removeExpired();
      await sleepUntil(clock, nowMs + TICK_INTERVAL_MS, stopping.signal);
    }
  };

  const contactAddress = async (peerAddress: string): Promise<void> => {
    if (addressesBeingContacted.has(peerAddress)) return;
    addressesBeingContacted.add(peerAddress);
    try {
      await exchange(peerAddress);
    } catch (error) {
      const reason = errorText(error);
      logger.event(MEMBERSHIP_EVENTS.exchangeFailed, { peer: peerAddress, reason });
    } finally {
      addressesBeingContacted.delete(peerAddress);
    }
  };

  const exploreInput = () => ({
    self: self.current(),
    others: table.others(),
    knownAddresses: seedPeers,
  });

  const contactFirstAddresses = async (): Promise<void> => {
    const shuffled = addressesNotAlive(exploreInput())
      .map((address) => ({ address, order: random.next() }))
      .sort((left, right) => left.order - right.order);
    await Promise.all(
      shuffled.slice(0, MAX_FIRST_CONTACTS).map(({ address }) => contactAddress(address)),
    );
  };

  /**
   * Contacts the first addresses again and again until one replies or the time for quick retries is over. Attempts
   * overlap, since one to a machine that is switched off hangs until its timeout and must not delay the others.
   */
  const findFirstPeer = async (): Promise<void> => {
    const quickRetriesEndAtMs = clock.monotonicMs() + ALONE_RETRY_DURATION_MS;
    const hasNoLivePeer = () => liveOthers().length === 0 && !stopping.signal.aborted;
    void contactFirstAddresses().then(resolveFirstRound);
    while (hasNoLivePeer() && clock.monotonicMs() < quickRetriesEndAtMs) {
      await sleepUntil(clock, clock.monotonicMs() + ALONE_RETRY_INTERVAL_MS, stopping.signal);
      if (hasNoLivePeer()) void contactFirstAddresses();
    }
  };

  const runExplorer = async (): Promise<void> => {
    const jitteredIntervalMs = () => EXPLORE_INTERVAL_MS * (0.5 + random.next());
    await findFirstPeer();
    for (let turn = 0; !stopping.signal.aborted; turn += 1) {
      const hasNoLivePeer = liveOthers().length === 0;
      if (hasNoLivePeer) await contactFirstAddresses();
      const address = chooseAddressToExplore({ ...exploreInput(), turn }, random);
      if (address !== undefined && !hasNoLivePeer) await contactAddress(address);
      removeStaleLinks();
      resolveFirstRound();
      const delayMs = liveOthers().length === 0 ? jitteredIntervalMs() / 5 : jitteredIntervalMs();
      await sleepUntil(clock, clock.monotonicMs() + delayMs, stopping.signal);
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
      ...liveOthers().map((member) => member.peerAddress),
      ...addressesNotAlive(exploreInput()),
    ],
    whenFirstContactsDone: () => firstRound,
    waitingStatements() {
      const waiting = [...links.values()].map(({ sent }) =>
        sent === undefined ? 0 : [...gossip.log.since(sent.statements)].length,
      );
      return Math.max(0, ...waiting);
    },
    isAlone: () => liveOthers().length + addressesNotAlive(exploreInput()).length === 0,
    start() {
      isStarted = true;
      lastCheckedAtMs = clock.monotonicMs();
      tasks.push(runTicks(), runExplorer());
    },
    receive(message) {
      applyMessage(message);
      return view.writeReply(message, clock.monotonicMs(), clock.unixMs());
    },
    markLeaving() {
      self.markLeaving();
      partners.wake(() => true);
    },
    exchangeNow: (isSelected) => partners.wake(isSelected),
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
      resolveFirstRound();
      await Promise.all([...tasks, partners[Symbol.asyncDispose]()]);
    },
  };
}
