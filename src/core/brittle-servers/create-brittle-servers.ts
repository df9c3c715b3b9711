import type { Clock } from '../clock';
import type { Logger } from '../events';
import { createCounterSelector } from '../shared-budget';
import type { CounterPeer } from '../shared-budget';
import { createBrittleServices } from './brittle-services';
import { BRITTLE_SERVER_EVENTS } from './events';
import { createSlotCounts, leaseIdOf } from './slot-counts';
import type { HeldLeases } from './slot-counts';
import { parseSlotMessage, serializeSlotMessage } from './slot-messages';
import type { SlotMessage } from './slot-messages';
import type { SlotLease, SlotVerdict, StatedBrittleness } from './types';

/** Keeps all instances of a region together from sending brittle servers more than they have room for. */
export interface BrittleServers {
  /** Applies what an answer of a server states. */
  observe(server: BrittleServer, stated: StatedBrittleness): void;
  /** Asks for a slot of a server for one request. `decide` may be called before this returns. */
  requestSlot(server: BrittleServer, decide: (verdict: SlotVerdict) => void): void;
  /** Returns the time until a slot of a server may be asked for again, ms; 0 if it may now. */
  waitMs(incarnationId: string): number;
  /** Processes a message of another instance. Returns whether the text was a valid one. */
  receive(text: string): boolean;
  /** Renews leases, and logs the services that have recovered. Must be called regularly. */
  runDue(): void;
  /** Number of services whose servers are brittle. */
  brittleCount(): number;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** A server as far as its slots are concerned. */
export interface BrittleServer {
  readonly incarnationId: string;
  readonly service: string;
  readonly slots: number;
}

/** Options of {@link createBrittleServers}. */
export interface BrittleServersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: () => CounterPeer;
  /** Returns the other instances of the region that may be alive, suspected ones included. */
  readonly peers: () => readonly CounterPeer[];
  /** Returns the share of the region's instances that this one reaches, itself included; from 0 to 1. */
  readonly reachableShare: () => number;
  readonly send: (address: string, text: string) => void;
}

/** Timeout for an answer, ms: many times the delay within a region. The ask is then repeated once. */
const ANSWER_TIMEOUT_MS = 40;
const MAX_TRIES = 2;
/** Time for which a server whose slots are all in use is not asked again, ms: the time in which one of many becomes free. */
const FULL_WAIT_MS = 20;
/** Interval between renewals of the leases of one server, ms. */
const RENEW_INTERVAL_MS = 300;
/** Maximum length of a malformed value in a log line, characters. */
const MAX_LOGGED_CHARACTERS = 40;

const FREE_LEASE: SlotLease = { release() {} };

function toHeldMessage(server: string, { holderId, leaseIds, askedIds }: HeldLeases): SlotMessage {
  return { kind: 'slotsHeld', holderId, server, leaseIds: [...leaseIds], askedIds: [...askedIds] };
}

interface PendingAsk {
  readonly decide: (isGranted: boolean) => void;
  timer: Disposable;
}

/** Creates a record without servers. */
export function createBrittleServers(options: BrittleServersOptions): BrittleServers {
  const { clock, logger, self } = options;
  const nowMs = () => clock.monotonicMs();
  const services = createBrittleServices();
  const counts = createSlotCounts();
  const counters = createCounterSelector({ self, peers: options.peers, nowMs });
  const pending = new Map<string, PendingAsk>();
  const fullUntilMs = new Map<string, number>();
  /** Leases that requests of this instance hold or have asked for, by server; empty until that has been told. */
  const held = new Map<string, Set<string>>();
  const malformedIds = new Set<string>();
  let lastLeaseNumber = clock.unixMs() * 1_000;
  let nextRenewalAtMs = 0;

  const counterOf = (serverId: string): CounterPeer | undefined =>
    counters.select(serverId, self().region)[0];
  const isSelf = (peer: CounterPeer | undefined): boolean => peer?.instanceId === self().instanceId;
  const send = (peer: CounterPeer, message: SlotMessage): void =>
    options.send(peer.address, serializeSlotMessage(message));

  const takeHere = (serverId: string, leaseId: string, slots: number): boolean => {
    const share = Math.max(1, Math.floor(slots * options.reachableShare()));
    return counts.take(serverId, leaseId, share, nowMs());
  };

  const release = (serverId: string, leaseId: string, wasRejected: boolean): void => {
    const leases = held.get(serverId);
    if (leases?.delete(leaseId) !== true) return;
    const counter = counterOf(serverId);
    if (counter === undefined) return;
    if (isSelf(counter)) counts.release(serverId, leaseId, wasRejected, nowMs());
    else send(counter, { kind: 'slotRelease', server: serverId, leaseId, wasRejected });
  };

  const beginAsking = (serverId: string): string => {
    lastLeaseNumber += 1;
    const leaseId = leaseIdOf(self().instanceId, lastLeaseNumber);
    const leases = held.get(serverId) ?? new Set();
    held.set(serverId, leases.add(leaseId));
    return leaseId;
  };

  const askPeer = (
    peer: CounterPeer,
    { incarnationId: server, slots }: BrittleServer,
    leaseId: string,
    decide: (isGranted: boolean) => void,
  ): void => {
    const trySending = (remainingTries: number): void => {
      const timer = clock.schedule(nowMs() + ANSWER_TIMEOUT_MS, () => {
        pending.delete(leaseId);
        if (remainingTries > 0) trySending(remainingTries - 1);
        else decide(false);
      });
      pending.set(leaseId, { decide, timer });
      send(peer, { kind: 'slotAsk', address: self().address, server, leaseId, slots });
    };
    trySending(MAX_TRIES - 1);
  };

  const receiveAnswer = (leaseId: string, isGranted: boolean): void => {
    const ask = pending.get(leaseId);
    if (ask === undefined) return;
    pending.delete(leaseId);
    ask.timer[Symbol.dispose]();
    ask.decide(isGranted);
  };

  const receiveMessage = (message: SlotMessage): void => {
    switch (message.kind) {
      case 'slotAsk': {
        const { address, server, leaseId, slots } = message;
        const isGranted = takeHere(server, leaseId, slots);
        options.send(address, serializeSlotMessage({ kind: 'slotAnswer', leaseId, isGranted }));
        return;
      }
      case 'slotAnswer':
        receiveAnswer(message.leaseId, message.isGranted);
        return;
      case 'slotRelease':
        counts.release(message.server, message.leaseId, message.wasRejected, nowMs());
        return;
      case 'slotsHeld':
        counts.renew(message.server, message, nowMs());
        return;
      default:
        message satisfies never;
    }
  };

  const renewLeases = (): void => {
    const { instanceId } = self();
    for (const [server, leases] of held) {
      const counter = counterOf(server);
      const isAsked = (leaseId: string) => pending.has(leaseId);
      const holding: HeldLeases = {
        holderId: instanceId,
        leaseIds: [...leases].filter((leaseId) => !isAsked(leaseId)),
        askedIds: [...leases].filter(isAsked),
      };
      if (isSelf(counter)) counts.renew(server, holding, nowMs());
      else if (counter !== undefined) send(counter, toHeldMessage(server, holding));
      if (leases.size === 0) held.delete(server);
    }
  };

  return {
    observe({ incarnationId, service }, stated) {
      if (stated.kind === 'malformed' && !malformedIds.has(incarnationId)) {
        malformedIds.add(incarnationId);
        const value = stated.text.slice(0, MAX_LOGGED_CHARACTERS);
        logger.event(BRITTLE_SERVER_EVENTS.malformed, { server: incarnationId, value });
      }
      if (!services.observe(service, stated, nowMs())) return;
      logger.event(BRITTLE_SERVER_EVENTS.brittle, { service, server: incarnationId });
    },
    requestSlot(server, decide) {
      const { incarnationId, service, slots } = server;
      const counter = counterOf(incarnationId);
      if (!services.isBrittle(service, nowMs()) || counter === undefined) {
        decide({ kind: 'granted', lease: FREE_LEASE });
        return;
      }
      const leaseId = beginAsking(incarnationId);
      const lease: SlotLease = {
        release: (wasRejected) => release(incarnationId, leaseId, wasRejected),
      };
      const conclude = (isGranted: boolean): void => {
        if (isGranted) {
          decide({ kind: 'granted', lease });
          return;
        }
        // The counter may have granted it, if only its answer was lost.
        lease.release(false);
        fullUntilMs.set(incarnationId, nowMs() + FULL_WAIT_MS);
        decide({ kind: 'denied' });
      };
      if (isSelf(counter)) conclude(takeHere(incarnationId, leaseId, slots));
      else askPeer(counter, server, leaseId, conclude);
    },
    waitMs: (incarnationId) => Math.max(0, (fullUntilMs.get(incarnationId) ?? 0) - nowMs()),
    receive(text) {
      const message = parseSlotMessage(text);
      if (message !== undefined) receiveMessage(message);
      return message !== undefined;
    },
    runDue() {
      for (const service of services.takeRecovered(nowMs())) {
        logger.event(BRITTLE_SERVER_EVENTS.recovered, { service });
      }
      if (held.size === 0 || nowMs() < nextRenewalAtMs) return;
      nextRenewalAtMs = nowMs() + RENEW_INTERVAL_MS;
      renewLeases();
    },
    brittleCount: services.count,
    keepOnly(incarnationIds) {
      counts.keepOnly(incarnationIds);
      for (const id of fullUntilMs.keys()) if (!incarnationIds.has(id)) fullUntilMs.delete(id);
      for (const id of malformedIds) if (!incarnationIds.has(id)) malformedIds.delete(id);
    },
  };
}
