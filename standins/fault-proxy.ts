import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A TCP proxy that injects connection faults on command. */
export interface FaultProxy extends AsyncDisposable {
  /** `IP:PORT` */
  readonly address: string;
  /** Silences all open connections for good, as a firewall does that has lost their state; new ones work. */
  silenceOpen(): void;
  /** Holds back all data, on old and new connections, until `thaw`; nothing is lost. */
  freeze(): void;
  thaw(): void;
  /** Resets all open connections. */
  resetOpen(): void;
  /** Resets new connections until `accept`. */
  refuse(): void;
  accept(): void;
  /** Refuses new connections for good, before any byte is sent; open ones live on. */
  refuseConnections(): void;
  /** Resets the next connection after this many bytes of its answer. */
  cutNextAnswerAfter(bytes: number): void;
  /** Delays all data by this time, ms. */
  setDelayMs(delayMs: number): void;
  /** Number of connections accepted so far. */
  connectionCount(): number;
  /** Number of bytes read from the target so far. */
  bytesFromTarget(): number;
}

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
}

/** Opens a proxy in front of `target` (`IP:PORT`), which may be set later. */
export async function openFaultProxy(target: string | (() => string)): Promise<FaultProxy> {
  const links = new Set<Link>();
  let frozen = false;
  let refusing = false;
  let delayMs = 0;
  let cutAfterBytes: number | undefined;
  let connections = 0;
  let fromTarget = 0;

  const close = (link: Link) => {
    links.delete(link);
    link.near.destroy();
    link.far.destroy();
  };

  const reset = (link: Link) => {
    links.delete(link);
    link.near.resetAndDestroy();
    link.far.resetAndDestroy();
  };

  const later = (action: () => void) => {
    if (delayMs === 0) action();
    else setTimeout(action, delayMs);
  };

  /** Forwards one direction of a connection, with backpressure as on a direct connection. */
  const relay = (link: Link, from: Socket, to: Socket, onBytes: (chunk: Buffer) => Buffer) => {
    from.on('data', (chunk: Buffer) => {
      if (link.silent) return;
      later(() => {
        if (to.destroyed) return;
        if (!to.write(onBytes(chunk))) {
          from.pause();
          to.once('drain', () => {
            if (!frozen) from.resume();
          });
        }
      });
    });
    from.on('end', () => {
      if (!link.silent) later(() => to.end());
    });
    from.on('error', () => {});
    from.on('close', () => {
      if (!link.silent && !frozen) later(() => close(link));
    });
  };

  const server = createServer({ allowHalfOpen: true }, (near) => {
    connections += 1;
    if (refusing) {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = (typeof target === 'string' ? target : target()).split(':');
    const far = connect({ host: host ?? '', port: Number(port), allowHalfOpen: true });
    const link: Link = { near, far, silent: false };
    links.add(link);
    let bytesLeft = cutAfterBytes ?? Infinity;
    cutAfterBytes = undefined;
    relay(link, near, far, (chunk) => chunk);
    relay(link, far, near, (chunk) => {
      fromTarget += chunk.length;
      const passed = chunk.subarray(0, Math.min(chunk.length, bytesLeft));
      bytesLeft -= chunk.length;
      if (bytesLeft < 0) setImmediate(() => reset(link));
      return passed;
    });
    if (frozen) {
      near.pause();
      far.pause();
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silenceOpen() {
      for (const link of links) link.silent = true;
    },
    freeze() {
      frozen = true;
      for (const { near, far } of links) {
        near.pause();
        far.pause();
      }
    },
    thaw() {
      frozen = false;
      for (const { near, far } of links) {
        near.resume();
        far.resume();
      }
    },
    resetOpen() {
      for (const link of [...links]) reset(link);
    },
    refuse() {
      refusing = true;
    },
    accept() {
      refusing = false;
    },
    refuseConnections() {
      server.close();
    },
    cutNextAnswerAfter(bytes) {
      cutAfterBytes = bytes;
    },
    setDelayMs(next) {
      delayMs = next;
    },
    connectionCount: () => connections,
    bytesFromTarget: () => fromTarget,
    async [Symbol.asyncDispose]() {
      for (const link of [...links]) close(link);
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
