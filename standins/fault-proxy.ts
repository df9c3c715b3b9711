import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { endAtCut } from './cut-answers';
import type { Cut } from './cut-answers';

/** Side of a connection that carries a request, or its answer. */
export type Side = 'request' | 'answer';

/** Ends the connection of one request at a cut, on whichever proxy carries that request first. */
export interface PlannedCut {
  readonly side: Side;
  /** Text that the request contains. */
  readonly text: string;
  readonly cut: Cut;
  /** Connection of the request, once a proxy carries it. */
  connection: Socket | undefined;
  /** Bytes of the side that the connection has carried since. */
  passedBytes: number;
  isMade: boolean;
}

/** Plans a cut for proxies. */
export function planCut(side: Side, text: string, cut: Cut): PlannedCut {
  return { side, text, cut, connection: undefined, passedBytes: 0, isMade: false };
}

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
  /** Makes a planned cut as soon as it is due, in place of the one that was set before. */
  setCut(planned: PlannedCut): void;
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
}

const NOTHING = Buffer.alloc(0);

/** Address on which a proxy listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Opens a proxy in front of `target` (`IP:PORT`), which may be set later; it listens on a free port by default. */
export async function openFaultProxy(
  target: string | (() => string),
  { host: listenHost, port: listenPort }: ListenAddress = { host: '127.0.0.1', port: 0 },
): Promise<FaultProxy> {
  const links = new Set<Link>();
  /** Links that carry nothing any more, be it an end. */
  const silentLinks = new WeakSet<Link>();
  let frozen = false;
  let refusing = false;
  let delayMs = 0;
  let cutAfterBytes: number | undefined;
  let planned: PlannedCut | undefined;
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

  /** Passes on the bytes of one side that come before a cut, and ends the connection at the cut. */
  const passUpToCut = (link: Link, side: Side, chunk: Buffer): Buffer => {
    if (planned === undefined || planned.isMade) return chunk;
    if (side === 'request' && chunk.includes(planned.text)) planned.connection ??= link.near;
    if (planned.connection !== link.near || planned.side !== side) return chunk;
    const { cut } = planned;
    const remainingBytes = cut.atByte - planned.passedBytes;
    planned.passedBytes += chunk.length;
    if (remainingBytes > chunk.length) return chunk;
    planned.isMade = true;
    silentLinks.add(link);
    links.delete(link);
    const [to, from] = side === 'answer' ? [link.near, link.far] : [link.far, link.near];
    endAtCut(to, chunk.subarray(0, remainingBytes), cut.ending, () => from.destroy());
    return NOTHING;
  };

  const later = (action: () => void) => {
    if (delayMs === 0) action();
    else setTimeout(action, delayMs);
  };

  /** Forwards one direction of a connection, with backpressure as on a direct connection. */
  const relay = (link: Link, from: Socket, to: Socket, onBytes: (chunk: Buffer) => Buffer) => {
    from.on('data', (chunk: Buffer) => {
      if (silentLinks.has(link)) return;
      later(() => {
        if (to.destroyed) return;
        const passed = onBytes(chunk);
        if (passed.length > 0 && !to.write(passed)) {
          from.pause();
          to.once('drain', () => {
            if (!frozen) from.resume();
          });
        }
      });
    });
    from.on('end', () => {
      if (!silentLinks.has(link)) later(() => to.end());
    });
    from.on('error', () => {});
    from.on('close', () => {
      if (!silentLinks.has(link) && !frozen) later(() => close(link));
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
    const link: Link = { near, far };
    links.add(link);
    let bytesLeft = cutAfterBytes ?? Infinity;
    cutAfterBytes = undefined;
    relay(link, near, far, (chunk) => passUpToCut(link, 'request', chunk));
    relay(link, far, near, (whole) => {
      fromTarget += whole.length;
      const chunk = passUpToCut(link, 'answer', whole);
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
    server.listen(listenPort, listenHost, resolve);
  });

  return {
    address: `${listenHost}:${(server.address() as AddressInfo).port}`,
    silenceOpen() {
      for (const link of links) silentLinks.add(link);
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
    setCut(next) {
      planned = next;
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
