import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import process from 'node:process';
import { createGossipStore } from '../../src/core/gossip';
import { createDisposableStore } from '../../src/core/lifetime';
import { createMembership } from '../../src/core/membership';
import {
  channelCredentials,
  createExchangeTransport,
  createPeerConnections,
  openPeerServer,
  secretMetadata,
  serverCredentials,
} from '../../src/core/peers';
import { createSeededRandom } from '../../src/core/random';
import { createSystemClock } from '../../src/runtime/system-clock';
import { createMemoryLogger } from '../../src/testing';
import { waitFor } from '../../src/testing/wait-for';

/** Membership over real gRPC on loopback: bytes on the sockets and processor time, for a few instances. */

/** What the run gave. */
export interface GrpcFigures {
  readonly instances: number;
  /** Bytes that pass the peer sockets, both ways, a node's share. */
  readonly bytesPerSecond: number;
  readonly exchangesPerSecond: number;
  readonly corePercent: number;
}

const INSTANCES = 8;
const MEASURED_MS = 15_000;
const SECRET = 'a-secret-of-the-bench';

interface Relay {
  readonly address: string;
  bytes(): number;
  close(): void;
}

/** Passes TCP on and counts it. */
async function openRelay(targetPort: () => number): Promise<Relay> {
  let bytes = 0;
  const count = (chunk: Buffer) => {
    bytes += chunk.length;
  };
  const sockets = new Set<Socket>();
  const server: Server = createServer((incoming) => {
    const outgoing = connect(targetPort(), '127.0.0.1');
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('data', count);
    }
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    bytes: () => bytes,
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Runs it, with the sockets counted or not; counting costs processor time of its own. */
export async function measureGrpc(isCounted: boolean): Promise<GrpcFigures> {
  const owned = createDisposableStore();
  const clock = createSystemClock();
  const metadata = secretMetadata(SECRET);
  const relays: Relay[] = [];
  const addresses: string[] = [];
  const memberships: ReturnType<typeof createMembership>[] = [];
  let exchanges = 0;
  const countExchange = () => {
    exchanges += 1;
  };
  for (let index = 0; index < INSTANCES; index += 1) {
    let port = 0;
    const relay = await openRelay(() => port);
    owned.defer(() => relay.close());
    const connections = owned.add(createPeerConnections(channelCredentials(undefined)));
    const transport = createExchangeTransport({ clock, connections, metadata });
    const membership = owned.add(
      createMembership({
        clock,
        random: createSeededRandom(index),
        logger: createMemoryLogger(),
        gossip: createGossipStore(`i-${index}`, clock),
        incarnation: clock.unixMs(),
        seedPeers: addresses.slice(0, 2),
        transport: {
          exchange(address, message) {
            countExchange();
            return transport.exchange(address, message);
          },
        },
        describeSelf: () => ({
          instanceId: `i-${index}`,
          region: `region-${index % 3}`,
          failureDomain: `region-${index % 3}-${index % 2}`,
          callerAddress: '127.0.0.1:1',
          peerAddress: isCounted ? relay.address : `127.0.0.1:${port}`,
          inFlightRequests: Math.floor(clock.monotonicMs() / 1_000),
          configurationVersion: 1,
          configurationDigest: 0,
          configurationSinceUnixMs: 0,
          configurationConfirmed: true,
          watching: false,
        }),
      }),
    );
    const server = owned.add(
      await openPeerServer({
        host: '127.0.0.1',
        port: 0,
        credentials: serverCredentials(undefined),
        peerSecret: SECRET,
        handlers: {
          exchange: (message) => membership.receive(message),
          fetchConfiguration: () => ({
            version: 0,
            isConfirmed: false,
            rootText: '',
            rootDigest: '',
            documents: new Map(),
          }),
          cancel: () => false,
          serveForwarded: async () => {},
        },
      }),
    );
    port = server.port;
    relays.push(relay);
    addresses.push(isCounted ? relay.address : `127.0.0.1:${port}`);
    memberships.push(membership);
  }
  memberships.forEach((membership) => membership.start());
  await waitFor(
    () => memberships.every((each) => each.usablePeers().length === INSTANCES - 1),
    'all to know all',
  );
  const totalBytes = () => relays.reduce((sum, relay) => sum + relay.bytes(), 0);
  const [bytesBefore, exchangesBefore, cpuBefore] = [totalBytes(), exchanges, process.cpuUsage()];
  await new Promise((resolve) => {
    setTimeout(resolve, MEASURED_MS);
  });
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = MEASURED_MS / 1_000;
  const figures = {
    instances: INSTANCES,
    bytesPerSecond: (totalBytes() - bytesBefore) / 2 / seconds / INSTANCES,
    exchangesPerSecond: (exchanges - exchangesBefore) / seconds / INSTANCES,
    corePercent: ((cpu.user + cpu.system) / 1e6 / seconds / INSTANCES) * 100,
  };
  await owned[Symbol.asyncDispose]();
  return figures;
}
