import { Agent, request } from 'node:http';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import type { RouteKind } from '../src/core/host-routes';
import { keyOfCaller } from './accounts';
import type { CallerAttempt } from './types';

/** What callers ask for; the routes of the configuration under test. */
interface AskedRoute {
  readonly path: string;
  readonly kind: RouteKind;
  readonly maxAttempts: number;
}

const ROUTES: readonly AskedRoute[] = [
  { path: '/orders/1', kind: 'nonIdempotent', maxAttempts: 1 },
  { path: '/stock/1', kind: 'idempotent', maxAttempts: 2 },
  { path: '/plans/1', kind: 'stream', maxAttempts: 2 },
  { path: '/chat/1', kind: 'stream', maxAttempts: 1 },
];
const HOST = 'kits.example';
const DEADLINE_MS = 4_000;
/** A caller gives an attempt up when its deadline is well past, ms. */
const GIVE_UP_MS = 6_000;
/** One caller in so many leaves before the end of its answer. */
const LEAVING_SHARE = 0.03;

/** Callers that ask again and again, on connections that they keep as long as these stand. */
export interface Callers {
  readonly attempts: readonly CallerAttempt[];
  /** Ends the asking, and resolves once nothing is under way. */
  stop(): Promise<void>;
}

/** What callers are started with. */
export interface CallersOptions {
  readonly random: RandomSource;
  readonly count: number;
  readonly addresses: readonly string[];
  /** Rest between two requests of one caller, ms. */
  readonly restMs: number;
}

/** One attempt; never rejects. */
export function askOnce(
  address: string,
  route: AskedRoute,
  requestId: string,
  options: { readonly agent: Agent; readonly key: string; readonly leavesAfterMs: number },
): Promise<CallerAttempt> {
  const [host = '', port = ''] = address.split(':');
  const { key } = options;
  return new Promise((resolve) => {
    let status: number | undefined;
    let isSigned = false;
    let body = '';
    const end = (isWhole: boolean) => {
      const { kind, maxAttempts } = route;
      resolve({ requestId, kind, maxAttempts, key, status, isWhole, isSigned, body });
    };
    const outgoing = request(
      {
        host,
        port,
        path: route.path,
        method: 'POST',
        agent: options.agent,
        headers: {
          host: HOST,
          'x-request-id': requestId,
          'x-api-key': key,
          'x-deadline-ms': String(DEADLINE_MS),
        },
      },
      (incoming) => {
        status = incoming.statusCode;
        isSigned = incoming.headers['x-response-signature'] !== undefined;
        incoming.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        incoming.on('end', () => end(incoming.complete));
        incoming.on('error', () => end(false));
      },
    );
    outgoing.on('error', () => end(false));
    outgoing.on('close', () => end(false));
    const leaving = setTimeout(() => outgoing.destroy(), options.leavesAfterMs);
    outgoing.on('close', () => clearTimeout(leaving));
    outgoing.end('a question');
  });
}

/** Starts callers. */
export function startCallers({ random, count, addresses, restMs }: CallersOptions): Callers {
  const attempts: CallerAttempt[] = [];
  let isStopping = false;
  let nextRequest = 1;

  const pick = <Item>(items: readonly Item[]): Item => {
    const item = items[pickIndex(random, items.length)];
    if (item === undefined) throw new RangeError('there is nothing to pick from');
    return item;
  };

  const rest = () =>
    new Promise((resolve) => {
      setTimeout(resolve, restMs * (0.5 + random.next()));
    });

  const run = async (key: string): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let address = pick(addresses);
    while (!isStopping) {
      const requestId = `r-${nextRequest}`;
      nextRequest += 1;
      const leavesAfterMs = random.next() < LEAVING_SHARE ? 40 : GIVE_UP_MS;
      const attempt = await askOnce(address, pick(ROUTES), requestId, {
        agent,
        key,
        leavesAfterMs,
      });
      attempts.push(attempt);
      // The connection is kept until it ends; then the caller looks for another instance.
      if (attempt.status === undefined || !attempt.isWhole) address = pick(addresses);
      await rest();
    }
    agent.destroy();
  };

  const running = Array.from({ length: count }, (_, index) => run(keyOfCaller(index)));
  return {
    attempts,
    async stop() {
      isStopping = true;
      await Promise.all(running);
    },
  };
}
