import { toBinary } from '@bufbuild/protobuf';
import { ExchangeMessageSchema, FetchConfigurationResponseSchema } from '../gen/membership_pb';
import { createConfigurationStore } from '../core/configuration';
import type { ConfigurationStore } from '../core/configuration';
import { createConfigurationSync } from '../core/configuration-sync';
import type {
  ConfigurationAnswer,
  ConfigurationRequest,
  ConfigurationSync,
} from '../core/configuration-sync';
import { createGossipStore } from '../core/gossip';
import type { GossipStore } from '../core/gossip';
import { createMembership } from '../core/membership';
import type { ExchangeMessage, MemberRecord, Membership } from '../core/membership';
import { fromWireMessage, toWireAnswer, toWireMessage } from '../core/peers';
import { createSeededRandom } from '../core/random';
import { createMemoryLogger } from './memory-logger';
import type { MemoryLogger } from './memory-logger';
import { createVirtualClock } from './virtual-clock';
import type { VirtualClock } from './virtual-clock';
import { createVirtualNetwork } from './virtual-network';
import type { VirtualConfigurationService } from './virtual-service';
import { createVirtualConfigurationService } from './virtual-service';
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
  readonly store: ConfigurationStore;
  /** Set when the fleet has a configuration service. */
  readonly sync: ConfigurationSync | undefined;
  /** What it says of itself; tests change it. */
  readonly says: { configurationVersion: number; inFlightRequests: number };
  /** Bytes that it sent to peers: exchanges and configuration. */
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
  readonly whenUnconfirmed?: 'serve' | 'refuse';
}

/** Options of the fleet. */
export interface VirtualFleetOptions {
  /** Whether instances follow the fleet's configuration service; else tests say which version each has. */
  readonly withConfiguration?: boolean;
}

/** The fleet. */
export interface VirtualFleet extends AsyncDisposable {
  readonly clock: VirtualClock;
  readonly service: VirtualConfigurationService;
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
  exchange(message: ExchangeMessage): ExchangeMessage;
  fetchConfiguration(request: ConfigurationRequest): ConfigurationAnswer;
}

/** gRPC's own frames around a message: headers that HPACK has met before, data frame, length prefix. */
const FRAME_BYTES = 60;

function wireBytes(message: ExchangeMessage): number {
  return toBinary(ExchangeMessageSchema, toWireMessage(message)).length + FRAME_BYTES;
}

/** An empty fleet; the same seed gives the same course of events. */
export function createVirtualFleet(
  seed = 1,
  { withConfiguration = false }: VirtualFleetOptions = {},
): VirtualFleet {
  const clock = createVirtualClock();
  const network = createVirtualNetwork(clock);
  const service = createVirtualConfigurationService(clock);
  const instances = new Map<string, VirtualInstance>();
  let nextSeed = seed * 1_000;

  const start = (options: VirtualInstanceOptions): VirtualInstance => {
    const { instanceId, region, failureDomain, seedPeers = [], clockOffsetMs = 0 } = options;
    const address = options.address ?? `${instanceId}:7400`;
    const place = { address, region, failureDomain };
    const port = network.open(place, clockOffsetMs);
    const logger = createMemoryLogger();
    const gossip = createGossipStore(instanceId, port.clock);
    const store = createConfigurationStore(logger);
    let sync: ConfigurationSync | undefined;
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
        ...sync?.configurationState(),
      }),
      transport: {
        async exchange(peerAddress, message) {
          sentBytes += wireBytes(message);
          return port.call(peerAddress, (to) => (to.service as VirtualService).exchange(message));
        },
      },
    });
    if (withConfiguration) {
      sync = createConfigurationSync({
        clock: port.clock,
        random: createSeededRandom(nextSeed + 500_000),
        logger,
        store,
        membership,
        askPeer: (peerAddress, request) =>
          port.call(peerAddress, (to) =>
            (to.service as VirtualService).fetchConfiguration(request),
          ),
        service: service.openFor(port.clock, place),
        whenUnconfirmed: options.whenUnconfirmed ?? 'serve',
      });
    }
    const offered: VirtualService = {
      fetchConfiguration(request) {
        if (sync === undefined) throw new Error('no configuration');
        const answer = sync.answer(request);
        sentBytes +=
          toBinary(FetchConfigurationResponseSchema, toWireAnswer(answer)).length + FRAME_BYTES;
        return answer;
      },
      exchange(message) {
        const read = fromWireMessage(toWireMessage(message));
        if (read === undefined) throw new Error('no sender');
        const answer = membership.receive(read);
        sentBytes += wireBytes(answer);
        return answer;
      },
    };
    port.service = offered;
    const instance: VirtualInstance = {
      instanceId,
      place,
      membership,
      gossip,
      port,
      logger,
      store,
      sync,
      says,
      sentBytes: () => sentBytes,
    };
    instances.set(instanceId, instance);
    membership.start();
    sync?.start();
    return instance;
  };

  const get = (instanceId: string): VirtualInstance => {
    const found = instances.get(instanceId);
    if (found === undefined) throw new Error(`No instance ${instanceId}`);
    return found;
  };

  return {
    clock,
    service,
    instances,
    start,
    get,
    async crash(instanceId, silently = true) {
      const { port, membership, sync } = get(instanceId);
      port.close(silently);
      instances.delete(instanceId);
      void sync?.[Symbol.asyncDispose]();
      void membership[Symbol.asyncDispose]();
    },
    setCut: network.setCut,
    callCount: network.callCount,
    seen: (viewer, instanceId) =>
      get(viewer)
        .membership.members()
        .find((member) => member.instanceId === instanceId),
    async [Symbol.asyncDispose]() {
      const stopping = [...instances.values()].flatMap(({ membership, sync }) => [
        membership[Symbol.asyncDispose](),
        sync?.[Symbol.asyncDispose](),
      ]);
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
