import { Client } from '@grpc/grpc-js';
import type { ChannelCredentials } from '@grpc/grpc-js';

/** One gRPC client for each peer address, made when first needed. */
export interface PeerConnections extends Disposable {
  to(peerAddress: string): Client;
}

/** Pings on idle connections, so that one that has gone silent is noticed and replaced. */
const KEEPALIVE_OPTIONS = {
  'grpc.keepalive_time_ms': 2_000,
  'grpc.keepalive_timeout_ms': 1_000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2_000,
  'grpc.max_receive_message_length': 32 * 1024 * 1024,
  // Calls are retried by this project's own rules alone.
  'grpc.enable_retries': 0,
};

/** No connections yet. */
export function createPeerConnections(credentials: ChannelCredentials): PeerConnections {
  const clients = new Map<string, Client>();
  return {
    to(peerAddress) {
      const known = clients.get(peerAddress);
      if (known !== undefined) return known;
      const client = new Client(peerAddress, credentials, KEEPALIVE_OPTIONS);
      clients.set(peerAddress, client);
      return client;
    },
    [Symbol.dispose]() {
      for (const client of clients.values()) client.close();
      clients.clear();
    },
  };
}
