import type { BrittleServers } from '../brittle-servers';
import type { Clock } from '../clock';
import { REST_WAIT_MS } from '../exchanges';
import type { AnswerHead, ConnectionPool, Exchange, ExchangeEnd } from '../exchanges';
import type { RouteTableStore } from '../host-routes';
import type { ServerLimits } from '../server-limits';
import type { ServerNotices } from '../server-notices';
import type { ServerSpeeds } from '../placement';
import type { Reachability } from '../reachability';
import type { KnownServer, ServerRegistry } from '../server-registry';
import { MISDIRECTED_STATUS, findForeign, headerText } from './classify-answer';
import { observeStatements } from './observe-statements';
import type { HeaderDialect } from './types';

/** Checks with servers themselves whether they are cold, when the published state may not show it. */
export interface WarmCheck {
  /** Whether a server must be checked before it gets a request. */
  isNeeded(server: KnownServer): boolean;
  /** Records that a server may have crashed. It may have restarted since, cold, under the same id. */
  markSuspect(server: KnownServer): void;
  /** Drops the records of all server incarnations except the given ones. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
  /** Sends a check to a server. Aborting ends the check; its result is still reported. */
  ask(
    server: KnownServer,
    maxConnections: number,
    onResult: (result: WarmCheckResult) => void,
    over?: CheckConnection,
  ): Pick<Exchange, 'abort'>;
}

/** Connection that a check uses. Only a new one shows that new ones can be opened. */
export type CheckConnection = 'anyConnection' | 'newConnection';

/** Result of a check. */
export type WarmCheckResult =
  | { readonly kind: 'warm' }
  | { readonly kind: 'cold' }
  /** Another server uses its address now. */
  | { readonly kind: 'replaced' }
  /** No answer arrived; nothing but the check has been sent. */
  | { readonly kind: 'unanswered'; readonly saw: UnansweredCheck; readonly reason: string };

/** What a check that was not answered saw of the server. */
export type UnansweredCheck =
  /** The connection was refused or reset. */
  | 'refused'
  /** Bytes arrived, but no answer: whoever sends them is there. */
  | 'noAnswer'
  /** The connection was made, and nothing arrived within the timeout. */
  | 'silent'
  /** No connection was made within the timeout, or none was free. */
  | 'notConnected';

/** Options of `createWarmCheck`. */
export interface WarmCheckOptions {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly pool: Pick<ConnectionPool, 'send'>;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  readonly limits: Pick<ServerLimits, 'observe'>;
  readonly notices: Pick<ServerNotices, 'observe'>;
  readonly brittle: Pick<BrittleServers, 'observe'>;
  readonly reachability: Pick<Reachability, 'recordReached' | 'recordFailed'>;
  /** Speeds of single servers; undefined if all servers of a service count as equally fast. */
  readonly serverSpeeds: Pick<ServerSpeeds, 'recordStatedSlowdown'> | undefined;
  /**
   * Returns the monotonic time since which all published state has been followed; undefined while
   * it is not.
   */
  readonly followedSinceMs: () => number | undefined;
}

/** Connect timeout for a server of this region: several round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Timeout for an answer: a check waits for a slot like any request, and uses it for a millisecond. */
const ANSWER_TIMEOUT_MS = 400;
/**
 * Maximum idle time of a reused connection, ms. A check may be repeated, so a connection that
 * breaks does no harm.
 */
const MAX_IDLE_MS = 60_000;
/** Maximum idle time that no open connection is within, so that a new one is opened. */
const NEVER_REUSE_MS = -1;
/** Id of a check: it states none, and servers repeat none or an empty one. */
const CHECK_ID = '';

function whatWasSeen(end: ExchangeEnd, isTimedOut: boolean): UnansweredCheck {
  if (end.kind === 'lost') {
    if (end.cause === 'malformed' || end.cause === 'endless') return 'noAnswer';
    if (isTimedOut && end.hasAnswerBegun === true) return 'noAnswer';
  }
  if (!isTimedOut) return 'refused';
  return end.kind === 'neverSent' ? 'notConnected' : 'silent';
}

/**
 * Creates a check that sends health checks to servers that may have become cold unnoticed.
 *
 * A failure domain may be evacuated and put back into service while the published state cannot be
 * read here. Its servers return cold without this instance knowing, and the instances together send
 * each of them more than a cold server can handle, so that it crashes with all its requests. The
 * symptom is servers that crash a moment after each outage of the source of the published state. So
 * while that state is not followed, and until servers that became cold meanwhile are warm again,
 * each request waits for the server's own answer to a check. That costs one round trip within the
 * region, and at most one check per attempt.
 *
 * A server that crashed may be back under its id before its announcement shows it. The id in a
 * request then does not distinguish the two incarnations, so a server that broke a connection is
 * also checked, once, before it gets a request.
 */
export function createWarmCheck(options: WarmCheckOptions): WarmCheck {
  const { clock, dialect, pool, routes, servers, reachability } = options;
  /** Ids of server incarnations that may have crashed and restarted. */
  const suspectIds = new Set<string>();
  const serviceOf = ({ service }: KnownServer) => routes.current()?.table.services.get(service);

  const coldForMs = ({ headers }: AnswerHead): number => {
    const text = headerText(headers[dialect.coldForMs]);
    const value = Number(text);
    return text === undefined || !Number.isFinite(value) ? 0 : Math.max(0, value);
  };

  const recordSpeed = ({ incarnationId }: KnownServer, { headers }: AnswerHead): void => {
    const slowdown = dialect.readLoadReport(headerText(headers[dialect.load]) ?? '')?.slowdown;
    if (slowdown === undefined) return;
    options.serverSpeeds?.recordStatedSlowdown(incarnationId, slowdown, clock.monotonicMs());
  };

  /** Records what an answer states; its body is ignored, since a healthy server's may say otherwise. */
  const readHead = (server: KnownServer, head: AnswerHead): WarmCheckResult => {
    if (head.status === MISDIRECTED_STATUS) return { kind: 'replaced' };
    suspectIds.delete(server.incarnationId);
    observeStatements(options, server, head, 'healthCheck');
    recordSpeed(server, head);
    const coldMs = coldForMs(head);
    if (coldMs > 0) servers.markCold(server.serverId, clock.monotonicMs() + coldMs);
    return { kind: coldMs > 0 ? 'cold' : 'warm' };
  };

  return {
    isNeeded(server) {
      const service = serviceOf(server);
      const nowMs = clock.monotonicMs();
      if (service === undefined || service.coldRequestsPerSecond <= 0) return false;
      // A server that is known to be cold already gets requests only at the rate that it can
      // handle.
      if (server.coldUntilMs > nowMs) return false;
      if (suspectIds.has(server.incarnationId)) return true;
      const sinceMs = options.followedSinceMs();
      return sinceMs === undefined || nowMs - sinceMs < service.coldStartMs;
    },
    markSuspect(server) {
      suspectIds.add(server.incarnationId);
    },
    keepOnly(incarnationIds) {
      for (const id of suspectIds) if (!incarnationIds.has(id)) suspectIds.delete(id);
    },
    ask(server, maxConnections, onResult, over = 'anyConnection') {
      let result: WarmCheckResult | undefined;
      let exchange: Exchange | undefined;
      let isCancelled = false;
      let isTimedOut = false;
      const deadline = clock.schedule(clock.monotonicMs() + ANSWER_TIMEOUT_MS, () => {
        isTimedOut = true;
        exchange?.abort('timeout');
      });
      exchange = pool.send(
        server.address,
        {
          maxConnections,
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          maxIdleMs: over === 'newConnection' ? NEVER_REUSE_MS : MAX_IDLE_MS,
        },
        {
          method: 'GET',
          path: serviceOf(server)?.healthPath ?? '/',
          headers: [dialect.targetServer, server.serverId],
          body: new Uint8Array(),
          isUnidentified: true,
        },
        {
          onHead(head) {
            reachability.recordReached(server.incarnationId);
            // An id is that of another request, whose answer comes late.
            const { status, headers } = head;
            if (findForeign({ status, headers }, CHECK_ID, dialect) !== undefined) {
              exchange?.abort('malformed');
              return;
            }
            result = readHead(server, head);
            // The result waits for this: the request that follows needs a connection, and the server may allow no other one.
            exchange?.discardRest(clock, clock.monotonicMs() + REST_WAIT_MS);
          },
          onData() {},
          onEnd(end) {
            deadline[Symbol.dispose]();
            const reason = end.kind === 'whole' ? 'the answer had no head' : end.reason;
            const saw = whatWasSeen(end, isTimedOut);
            if (result === undefined && !isCancelled) {
              if (saw === 'noAnswer') reachability.recordReached(server.incarnationId);
              else reachability.recordFailed(server.incarnationId);
            }
            onResult(result ?? { kind: 'unanswered', saw, reason });
          },
        },
      );
      if (exchange === undefined) {
        deadline[Symbol.dispose]();
        onResult({ kind: 'unanswered', saw: 'notConnected', reason: 'no connection is free' });
        return { abort() {} };
      }
      return {
        abort(cause) {
          isCancelled = true;
          exchange.abort(cause);
        },
      };
    },
  };
}
