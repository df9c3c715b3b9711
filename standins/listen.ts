import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A stand-in for an outside system that listens on loopback. */
export interface StandIn extends AsyncDisposable {
  /** `IP:PORT` */
  readonly address: string;
  /** Closes all open connections without an answer. */
  dropConnections(): void;
}

/** Answers one request of a stand-in. */
export type StandInHandler = (incoming: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Opens a stand-in on a free port of 127.0.0.1. */
export async function openStandIn(handler: StandInHandler, port = 0): Promise<StandIn> {
  const server = createServer((incoming, response) => {
    handler(incoming, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    dropConnections: () => server.closeAllConnections(),
    async [Symbol.asyncDispose]() {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Reads the complete body of a request. */
export async function readAll(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
