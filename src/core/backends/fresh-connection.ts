import { Client, buildConnector } from 'undici';

/** A connection for one request. */
export interface FreshConnection {
  readonly client: Client;
  /** Whether the request has been handed to the socket. */
  readonly handedOver: boolean;
}

/**
 * A client that makes one connection, for one request, and asks `beforeFirstByte` once it stands.
 *
 * A kept connection may have gone silent unnoticed, and a server may close it just as a request is written;
 * either way nobody could say whether an order arrived. A connection that has just been made is known to work,
 * and one that can't be made proves that nothing was sent. The client writes in the same turn in which the
 * connection is handed to it, so that no other work comes between the check and the first byte.
 */
export function openFreshConnection(
  origin: string,
  connectTimeoutMs: number,
  beforeFirstByte: () => void,
): FreshConnection {
  const connect = buildConnector({ timeout: connectTimeoutMs, keepAlive: false });
  let used = false;
  let handedOver = false;
  const client = new Client(origin, {
    pipelining: 1,
    connect(options, callback) {
      if (used) {
        callback(new Error('The connection was lost before the request was written.'), null);
        return;
      }
      used = true;
      connect(options, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        try {
          beforeFirstByte();
        } catch (refusal) {
          socket.destroy();
          callback(refusal as Error, null);
          return;
        }
        handedOver = true;
        callback(null, socket);
      });
    },
  });
  return {
    client,
    get handedOver() {
      return handedOver;
    },
  };
}
