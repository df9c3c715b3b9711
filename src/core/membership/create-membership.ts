import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import { MEMBERSHIP_EVENTS } from './events';
import { laterState } from './merge';
import type { MemberState, MembershipView } from './types';

/** How membership reaches another instance. */
export interface MembershipTransport {
  /** Sends what is known here and returns what is known there; rejects when it can't be reached. */
  exchange(peerAddress: string, members: readonly MemberState[]): Promise<readonly MemberState[]>;
}

/** What membership is built from. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: MembershipTransport;
  readonly seedPeers: readonly string[];
  /** This instance as it stands now; sequence and status are filled in here. */
  readonly describeSelf: () => Omit<MemberState, 'sequence' | 'status'>;
}

/** Membership with its tasks. */
export interface Membership extends MembershipView, AsyncDisposable {
  /** Starts one task for each seed peer. */
  start(): void;
  /** Takes in what a peer sent, and returns what to answer. */
  receive(members: readonly MemberState[]): readonly MemberState[];
  /** Says to all from now on that this instance is leaving. */
  markLeaving(): void;
}

const EXCHANGE_INTERVAL_MS = 500;
const DEAD_AFTER_FAILURES = 3;

/** Membership that exchanges the whole view with every seed peer. */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, logger, transport, seedPeers, describeSelf } = options;
  const others = new Map<string, MemberState>();
  const stopping = new AbortController();
  const tasks: Promise<void>[] = [];
  let sequence = 0;
  let leaving = false;

  const self = (): MemberState => ({
    ...describeSelf(),
    sequence,
    status: leaving ? 'leaving' : 'alive',
  });

  const members = () => [self(), ...others.values()];

  const takeIn = (states: readonly MemberState[]) => {
    const ownId = describeSelf().instanceId;
    for (const state of states) {
      if (state.instanceId === ownId) continue;
      const known = others.get(state.instanceId);
      others.set(state.instanceId, known === undefined ? state : laterState(known, state));
    }
  };

  const markDead = (peerAddress: string) => {
    for (const state of others.values()) {
      if (state.peerAddress === peerAddress && state.status !== 'dead') {
        others.set(state.instanceId, { ...state, status: 'dead' });
        logger.event(MEMBERSHIP_EVENTS.peerDown, { peer: state.instanceId, region: state.region });
      }
    }
  };

  const exchangeOnce = async (peerAddress: string): Promise<boolean> => {
    try {
      sequence += 1;
      takeIn(await transport.exchange(peerAddress, members()));
      return true;
    } catch (error) {
      logger.event(
        { ...MEMBERSHIP_EVENTS.peerDown, level: 'debug' },
        { peer: peerAddress, reason: errorText(error) },
      );
      return false;
    }
  };

  const runPeerTask = async (peerAddress: string): Promise<void> => {
    let failures = 0;
    while (!stopping.signal.aborted) {
      const answered = await exchangeOnce(peerAddress);
      failures = answered ? 0 : failures + 1;
      if (failures === DEAD_AFTER_FAILURES) markDead(peerAddress);
      await sleepUntil(clock, clock.monotonicMs() + EXCHANGE_INTERVAL_MS, stopping.signal);
    }
  };

  return {
    self,
    members,
    usablePeers: () => [...others.values()].filter((state) => state.status === 'alive'),
    start() {
      for (const peerAddress of seedPeers) tasks.push(runPeerTask(peerAddress));
    },
    receive(states) {
      takeIn(states);
      return members();
    },
    markLeaving() {
      leaving = true;
      sequence += 1;
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await Promise.all(tasks);
    },
  };
}
