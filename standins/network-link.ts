import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A TCP relay to one listener, which can be cut and joined again. */
export interface NetworkLink extends AsyncDisposable {
  /** ip:port of the relay. */
  readonly address: string;
  /** Drops what is open and refuses what comes. */
  cut(): void;
  heal(): void;
}

/** Opens a relay to `port` of 127.0.0.1. */
export async function openNetworkLink(port: number): Promise<NetworkLink> {
  const open = new Set<Socket>();
  let isCut = false;

  const keep = (socket: Socket) => {
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    socket.on('error', () => socket.destroy());
  };

  const server = createServer((near) => {
    keep(near);
    if (isCut) {
      near.destroy();
      return;
    }
    const far = connect(port, '127.0.0.1');
    keep(far);
    near.on('close', () => far.destroy());
    far.on('close', () => near.destroy());
    near.pipe(far);
    far.pipe(near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  const dropAll = () => open.forEach((socket) => socket.destroy());
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    cut() {
      isCut = true;
      dropAll();
    },
    heal() {
      isCut = false;
    },
    async [Symbol.asyncDispose]() {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      dropAll();
      await closed;
    },
  };
}
