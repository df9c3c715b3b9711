import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

function listenOnce(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

/**
 * Ports of 127.0.0.1 that were free just now, for processes that must know one another's addresses before
 * they start. Tests in one process use port 0 instead.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenOnce));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => resolve());
        }),
    ),
  );
  return ports;
}
