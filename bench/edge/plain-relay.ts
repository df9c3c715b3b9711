import { fork } from 'node:child_process';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';

/**
 * A relay that only copies bytes between two sockets, as a process of its own: the least that any process
 * between a caller and a server can cost on this machine. The gateway's figures are held against it.
 */

/** The relay as the bench sees it. */
export interface PlainRelay extends Disposable {
  /** http://ip:port of the relay. */
  readonly url: string;
  /** Processor time used so far, s. */
  processorSeconds(): Promise<number>;
}

type Message = { readonly port: number } | { readonly processorSeconds: number };

function runRelay(targetPort: number): void {
  const server = createServer((near) => {
    const far = connect(targetPort, '127.0.0.1');
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
    near.pipe(far);
    far.pipe(near);
  });
  server.listen(0, '127.0.0.1', () => {
    process.send?.({ port: (server.address() as AddressInfo).port } satisfies Message);
  });
  process.on('message', () => {
    const { user, system } = process.cpuUsage();
    process.send?.({ processorSeconds: (user + system) / 1e6 } satisfies Message);
  });
}

/** Starts the relay in front of `target` (ip:port). */
export async function startPlainRelay(target: string): Promise<PlainRelay> {
  const child = fork(fileURLToPath(import.meta.url), [target.split(':')[1] ?? '']);
  const nextMessage = () =>
    new Promise<Message>((resolve) => {
      child.once('message', (message) => resolve(message as Message));
    });
  const first = await nextMessage();
  if (!('port' in first)) throw new Error('the relay did not name its port');
  return {
    url: `http://127.0.0.1:${first.port}`,
    async processorSeconds() {
      child.send('report');
      const message = await nextMessage();
      return 'processorSeconds' in message ? message.processorSeconds : NaN;
    },
    [Symbol.dispose]() {
      child.kill();
    },
  };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) runRelay(Number(process.argv[2]));
