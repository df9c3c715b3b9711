import { toBinary } from '@bufbuild/protobuf';
import { ExchangeMessageSchema } from '../gen/membership_pb';
import { createGossipBoard } from '../core/gossip';
import type { GossipStore } from '../core/gossip';
import { createMembership } from '../core/membership';
import type { ExchangeMessage, MemberRecord, Membership } from '../core/membership';
import { fromWireMessage, toWireMessage } from '../core/peers';
import { createSeededRandom } from '../core/random';
import { createMemoryLogger } from './memory-logger';
import type { MemoryLogger } from './memory-logger';
import { createVirtualClock } from './virtual-clock';
import type { VirtualClock } from './virtual-clock';
import { createVirtualNetwork } from './virtual-network';
import type { NetworkCut, NetworkPlace, NetworkPort } from './virtual-network';

/** Many instances' membership in one process, on virtual time, over function calls. */

/** One instance. */
export interface VirtualInstance {
  readonly instanceId: string;
  readonly place: NetworkPlace;
  readonly membership: Membership;
  readonly gossip: GossipStore;
  readonly port: NetworkPort;
  readonly logger: MemoryLogger;
  /** What it says of itself; tests change it. */
  readonly says: { configurationVersion: number; inFlightRequests: number };
  /** Bytes of its exchanges' requests and answers, sent. */
  sentBytes(): number;
}

/** Where and how an instance starts. */
export interface VirtualInstanceOptions {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Default: an address of its own. */
  readonly address?: string;
  /** How far its machine's clock is ahead. */
  readonly clockOffsetMs?: number;
  readonly seedPeers?: readonly string[];
  readonly listPeers?: () => Promise<readonly string[]>;
}

/** The fleet. */
export interface VirtualFleet extends AsyncDisposable {
  readonly clock: VirtualClock;
  readonly instances: ReadonlyMap<string, VirtualInstance>;
  start(options: VirtualInstanceOptions): VirtualInstance;
  get(instanceId: string): VirtualInstance;
  /** Ends the process without a word. */
  crash(instanceId: string, silently?: boolean): Promise<void>;
  setCut(cut: NetworkCut | undefined): void;
  callCount(): number;
  /** What `viewer` holds of `instanceId`. */
  seen(viewer: string, instanceId: string): MemberRecord | undefined;
}

/** What an instance offers to the others. */
interface VirtualService {
  exchange(message: Uint8Array | ExchangeMessage): ExchangeMessage;
}

/** gRPC's own frames around a message: headers that HPACK has met before, data frame, length prefix. */
const FRAME_BYTES = 60;

function wireBytes(message: ExchangeMessage): number {
  return toBinary(ExchangeMessageSchema, toWireMessage(message)).length + FRAME_BYTES;
}

/** An empty fleet; the same seed gives the same course of events. */
export function createVirtualFleet(seed = 1): VirtualFleet {
  const clock = createVirtualClock();
  const network = createVirtualNetwork(clock);
  const instances = new Map<string, VirtualInstance>();
  const graveyard: Membership[] = [];
  let nextSeed = seed * 1_000;

  const start = (options: VirtualInstanceOptions): VirtualInstance => {
    const { instanceId, region, failureDomain, seedPeers = [], clockOffsetMs = 0 } = options;
    const address = options.address ?? `${instanceId}:7400`;
    const place = { address, region, failureDomain };
    const port = network.open(place, clockOffsetMs);
    const logger = createMemoryLogger();
    const gossip = createGossipBoard(instanceId, port.clock);
    const says = { configurationVersion: 1, inFlightRequests: 0 };
    let sentBytes = 0;
    nextSeed += 1;
    const membership = createMembership({
      clock: port.clock,
      random: createSeededRandom(nextSeed),
      logger,
      gossip,
      incarnation: port.clock.unixMs(),
      seedPeers,
      ...(options.listPeers === undefined ? {} : { listPeers: options.listPeers }),
      describeSelf: () => ({
        instanceId,
        region,
        failureDomain,
        callerAddress: address.replace(':7400', ':8080'),
        peerAddress: address,
        configurationDigest: 0,
        configurationSinceUnixMs: 0,
        configurationConfirmed: true,
        watching: false,
        ...says,
      }),
      transport: {
        async exchange(peerAddress, message) {
          sentBytes += wireBytes(message);
          return port.call(peerAddress, (to) => (to.service as VirtualService).exchange(message));
        },
      },
    });
    const service: VirtualService = {
      exchange(message) {
        const read = fromWireMessage(toWireMessage(message as ExchangeMessage));
        if (read === undefined) throw new Error('no sender');
        const answer = membership.receive(read);
        sentBytes += wireBytes(answer);
        return answer;
      },
    };
    port.service = service;
    const instance: VirtualInstance = {
      instanceId,
      place,
      membership,
      gossip,
      port,
      logger,
      says,
      sentBytes: () => sentBytes,
    };
    instances.set(instanceId, instance);
    membership.start();
    return instance;
  };

  const get = (instanceId: string): VirtualInstance => {
    const found = instances.get(instanceId);
    if (found === undefined) throw new Error(`No instance ${instanceId}`);
    return found;
  };

  return {
    clock,
    instances,
    start,
    get,
    async crash(instanceId, silently = true) {
      const { port, membership } = get(instanceId);
      port.close(silently);
      instances.delete(instanceId);
      graveyard.push(membership);
      void membership[Symbol.asyncDispose]();
    },
    setCut: network.setCut,
    callCount: network.callCount,
    seen: (viewer, instanceId) =>
      get(viewer)
        .membership.members()
        .find((member) => member.instanceId === instanceId),
    async [Symbol.asyncDispose]() {
      const stopping = [...instances.values()].map(({ membership }) =>
        membership[Symbol.asyncDispose](),
      );
      await clock.runFor(5_000);
      await Promise.all(stopping);
    },
  };
}

/** Starts `count` instances spread over regions of two failure domains each; all know the first few. */
export function startEvenFleet(fleet: VirtualFleet, count: number, regionCount: number): void {
  const seedPeers = ['i-0:7400', 'i-1:7400', 'i-2:7400'];
  for (let index = 0; index < count; index += 1) {
    const region = `region-${index % regionCount}`;
    const domain = Math.floor(index / regionCount) % 4;
    fleet.start({
      instanceId: `i-${index}`,
      region,
      failureDomain: `${region}-${domain}`,
      seedPeers,
    });
  }
}
