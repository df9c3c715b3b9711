import type { Clock } from '../clock';
import type { AnswerHead, ConnectionPool, Exchange } from '../exchanges';
import type { RouteTableStore } from '../host-routes';
import type { KnownServer, ServerRegistry } from '../server-registry';
import { MISDIRECTED, headerText } from './judge-answer';
import type { HeaderDialect } from './types';

/** Asks servers whether they are cold, where nothing that is published would tell. */
export interface WarmCheck {
  /** Whether a server has to be asked before it is given a request. */
  isNeeded(server: KnownServer): boolean;
  /** Notes that a server may have crashed: it may have started again since, cold, under the id that it had. */
  noteDoubt(server: KnownServer): void;
  /** Forgets the starts of servers that are not among those given. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
  /** Asks a server; aborting ends the check, and its result still comes. */
  ask(
    server: KnownServer,
    mostConnections: number,
    onResult: (result: WarmResult) => void,
  ): Pick<Exchange, 'abort'>;
}

/** What a server said. */
export type WarmResult =
  | { readonly kind: 'warm' }
  | { readonly kind: 'cold' }
  /** Another server has its address now. */
  | { readonly kind: 'replaced' }
  /** Nothing came; nothing but the check has been sent. */
  | { readonly kind: 'unanswered'; readonly reason: string };

/** What the check is made from. */
export interface WarmCheckOptions {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  /** Monotonic time since which all that is published has been followed; undefined while it is not. */
  readonly followedSinceMs: () => number | undefined;
}

/** Time for a connection to a server of this region; several round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Time for an answer: a check waits for a slot like any request, and takes one for a millisecond. */
const ANSWER_TIMEOUT_MS = 400;
/** A check may be repeated, so that a kept connection which breaks just now does no harm, ms. */
const MOST_IDLE_MS = 60_000;

/**
 * A check that has asked nobody.
 *
 * A failure domain may be evacuated and taken back while nothing that is published can be read here. Its servers come
 * back cold, this instance knows nothing of it, and together the instances send each of them more than it bears: it
 * crashes with all that it runs. One notices servers that crash a moment after each outage of the source. So while
 * what is published is not followed, and until servers that became cold meanwhile are warm again, each request waits
 * for the server's own answer first. That costs a round trip within the region, and no more checks than requests.
 *
 * A server that crashed may be back under its id before its announcement says so. The id in a request no longer tells
 * the two starts apart, so one that broke a connection is asked as well, once, before it is given a request.
 */
export function createWarmCheck(options: WarmCheckOptions): WarmCheck {
  const { clock, dialect, pool, routes, servers } = options;
  const doubted = new Set<string>();
  const serviceOf = ({ service }: KnownServer) => routes.current()?.table.services.get(service);

  const coldForMs = ({ headers }: AnswerHead): number => {
    const text = headerText(headers[dialect.coldForMs]);
    const value = Number(text);
    return text === undefined || !Number.isFinite(value) ? 0 : Math.max(0, value);
  };

  return {
    isNeeded(server) {
      const service = serviceOf(server);
      const nowMs = clock.monotonicMs();
      if (service === undefined || service.coldRequestsPerSecond <= 0) return false;
      // One that is known to be cold is sent to at the rate that it bears already.
      if (server.coldUntilMs > nowMs) return false;
      if (doubted.has(server.incarnationId)) return true;
      const sinceMs = options.followedSinceMs();
      return sinceMs === undefined || nowMs - sinceMs < service.coldStartMs;
    },
    noteDoubt(server) {
      doubted.add(server.incarnationId);
    },
    keepOnly(incarnationIds) {
      for (const id of doubted) if (!incarnationIds.has(id)) doubted.delete(id);
    },
    ask(server, mostConnections, onResult) {
      let result: WarmResult | undefined;
      let exchange: Exchange | undefined;
      const deadline = clock.schedule(clock.monotonicMs() + ANSWER_TIMEOUT_MS, () =>
        exchange?.abort('timeout'),
      );
      exchange = pool.send(
        server.address,
        {
          mostConnections,
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          mostIdleMs: MOST_IDLE_MS,
        },
        {
          method: 'GET',
          path: serviceOf(server)?.healthPath ?? '/',
          headers: [dialect.targetServer, server.serverId],
          body: new Uint8Array(),
        },
        {
          onHead(head) {
            if (head.status === MISDIRECTED) {
              result = { kind: 'replaced' };
              return;
            }
            doubted.delete(server.incarnationId);
            const forMs = coldForMs(head);
            if (forMs > 0) servers.noteCold(server.serverId, clock.monotonicMs() + forMs);
            // What else the answer says is not asked for: servers may be healthy and say otherwise.
            result = { kind: forMs > 0 ? 'cold' : 'warm' };
          },
          onData() {},
          onEnd(end) {
            deadline[Symbol.dispose]();
            const reason = end.kind === 'whole' ? 'the answer had no head' : end.reason;
            onResult(result ?? { kind: 'unanswered', reason });
          },
        },
      );
      if (exchange === undefined) {
        deadline[Symbol.dispose]();
        onResult({ kind: 'unanswered', reason: 'no connection is free' });
        return { abort() {} };
      }
      return exchange;
    },
  };
}
