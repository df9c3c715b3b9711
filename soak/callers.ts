import { Agent, request } from 'node:http';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import type { RouteKind } from '../src/core/host-routes';
import { regionOf } from '../platform/testing/process-settings';
import { keyOfCaller } from './accounts';
import { LONG_PATH, SOLO_PREFIX, boundPrefix } from './configuration';
import { takenUpAfter } from './stream-versions';
import type { CallerAttempt, TakenUpStream } from './types';

/** A route of the tested configuration. */
export interface RequestedRoute {
  readonly path: string;
  readonly kind: RouteKind;
  readonly maxAttempts: number;
  readonly isBoundToRegion?: boolean;
  /** Whether callers take its streams up. */
  readonly isResumable?: boolean;
}

const ROUTES: readonly RequestedRoute[] = [
  { path: '/orders/1', kind: 'nonIdempotent', maxAttempts: 1 },
  { path: '/stock/1', kind: 'idempotent', maxAttempts: 2 },
  { path: '/plans/1', kind: 'stream', maxAttempts: 2, isResumable: true },
  { path: '/chat/1', kind: 'stream', maxAttempts: 1 },
  { path: `${SOLO_PREFIX}1`, kind: 'stream', maxAttempts: 1, isResumable: true },
  { path: LONG_PATH, kind: 'idempotent', maxAttempts: 2 },
];

/** Returns the routes of the callers of an instance. */
export function routesAt(instance: number): readonly RequestedRoute[] {
  const path = `${boundPrefix(regionOf(instance))}1`;
  return [...ROUTES, { path, kind: 'idempotent', maxAttempts: 2, isBoundToRegion: true }];
}

const HOST = 'kits.example';
/** Time from sending a request in which its caller wants the whole answer, ms. */
export const DEADLINE_MS = 4_000;
/** Time after which a caller gives up an attempt, ms: well after its deadline. */
export const GIVE_UP_MS = 6_000;
/** Share of the requests whose caller disconnects before the end of the answer. */
const LEAVING_SHARE = 0.03;

/** Callers that send one request after another, on connections that they keep open as long as possible. */
export interface Callers {
  readonly attempts: readonly CallerAttempt[];
  /** Stops sending, and resolves once no request is open. */
  stop(): Promise<void>;
}

/** Whether a caller got a complete answer. */
export function isAnswered({ status, isWhole }: CallerAttempt): boolean {
  return status === 200 && isWhole;
}

/** Statuses of refusals of requests that may have run. */
const MAY_HAVE_RUN: ReadonlySet<number | undefined> = new Set([502, 504]);

/** Whether an answer was closed before its end, or refused as one of a request that may have run. */
export function isCut({ status, isWhole }: CallerAttempt): boolean {
  return MAY_HAVE_RUN.has(status) || (!isWhole && (status === undefined || status === 200));
}

/** Options of `startCallers`. */
export interface CallersOptions {
  readonly random: RandomSource;
  readonly count: number;
  readonly addresses: readonly string[];
  /** Mean pause between two requests of one caller, ms. */
  readonly pauseMs: number;
}

/** Sends one request and resolves with its result; never rejects. */
export function sendRequest(
  address: string,
  route: RequestedRoute,
  requestId: string,
  options: {
    readonly agent: Agent;
    readonly key: string;
    readonly leavesAfterMs: number;
    readonly takesUp?: TakenUpStream | undefined;
    readonly deadlineMs?: number;
    /** Called with each part of the answer's body as it arrives. */
    readonly onData?: (text: string) => void;
  },
): Promise<CallerAttempt> {
  const [host = '', port = ''] = address.split(':');
  const { key, takesUp, deadlineMs = DEADLINE_MS } = options;
  const resumption =
    takesUp === undefined
      ? {}
      : {
          'last-event-id': String(takesUp.lastEventId),
          ...(takesUp.isUnnamed === true || takesUp.firstRequestId === undefined
            ? {}
            : { resumes: takesUp.firstRequestId }),
        };
  const { isBoundToRegion = false } = route;
  const atMs = Date.now();
  return new Promise((resolve) => {
    let status: number | undefined;
    let isSigned = false;
    let retryAfter: string | undefined;
    let body = '';
    let hasLeft = false;
    const end = (isWhole: boolean) => {
      const { kind, maxAttempts, isResumable = false } = route;
      resolve({
        requestId,
        address,
        atMs,
        endedAtMs: Date.now(),
        hasLeft,
        kind,
        isResumable,
        isBoundToRegion,
        maxAttempts,
        key,
        status,
        retryAfter,
        isWhole,
        isSigned,
        body,
        takesUp,
      });
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
          'x-deadline-ms': String(deadlineMs),
          ...resumption,
        },
      },
      (incoming) => {
        status = incoming.statusCode;
        retryAfter = incoming.headers['retry-after'];
        isSigned = incoming.headers['x-response-signature'] !== undefined;
        incoming.on('data', (chunk: Buffer) => {
          body += chunk.toString();
          options.onData?.(chunk.toString());
        });
        incoming.on('end', () => end(incoming.complete));
        incoming.on('error', () => end(false));
      },
    );
    outgoing.on('error', () => end(false));
    outgoing.on('close', () => end(false));
    const leaving = setTimeout(() => {
      hasLeft = true;
      outgoing.destroy();
    }, options.leavesAfterMs);
    outgoing.on('close', () => clearTimeout(leaving));
    outgoing.end('a question');
  });
}

/** Starts callers. */
export function startCallers({ random, count, addresses, pauseMs }: CallersOptions): Callers {
  const attempts: CallerAttempt[] = [];
  let isStopping = false;
  let nextRequest = 1;

  const pick = <Item>(items: readonly Item[]): Item => {
    const item = items[pickIndex(random, items.length)];
    if (item === undefined) throw new RangeError('cannot pick from an empty list');
    return item;
  };

  const rest = () =>
    new Promise((resolve) => {
      setTimeout(resolve, pauseMs * (0.5 + random.next()));
    });

  const run = async (key: string): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let address = pick(addresses);
    let interrupted: { route: RequestedRoute; takesUp: TakenUpStream } | undefined;
    while (!isStopping) {
      const requestId = `r-${nextRequest}`;
      nextRequest += 1;
      const leavesAfterMs = random.next() < LEAVING_SHARE ? 40 : GIVE_UP_MS;
      const takesUp = interrupted?.takesUp;
      const route = interrupted?.route ?? pick(routesAt(addresses.indexOf(address)));
      const options = { agent, key, leavesAfterMs, takesUp };
      const attempt = await sendRequest(address, route, requestId, options);
      attempts.push(attempt);
      const next = route.isResumable === true ? takenUpAfter(attempt) : undefined;
      interrupted = next === undefined ? undefined : { route, takesUp: next };
      // The caller stays with an instance until the connection to it ends, and may take a stream up anywhere.
      const wasCut = attempt.status === undefined || !attempt.isWhole;
      if (wasCut || interrupted !== undefined) address = pick(addresses);
      if (interrupted === undefined) await rest();
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
