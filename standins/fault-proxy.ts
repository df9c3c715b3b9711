import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A TCP proxy that brings about, on command, what goes wrong between two ends of real connections. */
export interface FaultProxy extends AsyncDisposable {
  /** ip:port */
  readonly address: string;
  /** Open connections go silent for good, as when a firewall has lost track of them; new ones work. */
  silenceOpen(): void;
  /** Every connection, old and new, stands still until `thaw`; nothing is lost. */
  freeze(): void;
  thaw(): void;
  /** Every open connection is reset. */
  resetOpen(): void;
  /** New connections are reset until `accept`. */
  refuse(): void;
  accept(): void;
  /** The answer on the next connection is cut off by a reset after this many bytes. */
  cutNextAnswerAfter(bytes: number): void;
  /** What passes is held back by this much, ms. */
  setDelayMs(delayMs: number): void;
  /** Connections made so far. */
  connectionCount(): number;
  /** Bytes read from the target so far. */
  bytesFromTarget(): number;
}

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
}

/** Opens a proxy before `target` (ip:port), which may become known only later. */
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

  /** Passes one direction on; the reader is held back by a slow writer, as on a plain connection. */
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
