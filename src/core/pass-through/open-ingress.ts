import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { handleCall } from '../calls';
import type { CallHandlers } from '../calls';
import type { AccountQuotas, QuotaDecision } from '../account-quotas';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { RequestBody } from '../held-bytes';
import type { RouteTableStore } from '../host-routes';
import type { EventLoopTurns, Intake, LoopWatch } from '../intake';
import type { LoopActivity } from '../loop-activity';
import type { RandomSource } from '../random';
import type { RetryAllowance } from '../shared-budget';
import { createCallerConnections } from './caller-connections';
import { createClientAnswer } from './client-answer';
import { boundIncoming } from './bound-incoming';
import { closeIdleConnections } from './close-idle-connections';
import { PASS_THROUGH_EVENTS } from './events';
import { PLAN_HEADER, answerDeadlineMs, readPlan } from './forwarding';
import { headerBytes } from './header-bytes';
import { headerText } from './classify-answer';
import { headersToPassOn } from './headers';
import { listen } from './listen';
import { createRequestPlanner } from './plan-request';
import { prepareRequest } from './prepare-request';
import { receiveBody } from './receive-body';
import { refuseMalformed } from './refuse-malformed';
import type { ResumedPlan } from './resumed-stream';
import type { ChargedPlan, RefusedPlan } from './plan-request';
import type { ServedRequest } from './request-end';
import { TIMED_OUT_RETRY_MS } from './retry-bounds';
import { serveRequest } from './serve-request';
import type { ServeDependencies } from './serve-dependencies';
import type {
  ClientAnswer,
  InboundRequest,
  Refusal,
  RefusalReason,
  RequestPlan,
  ServedHandle,
} from './types';
import { watchForAnswer } from './unanswered-requests';

/** Options of `openIngress`. */
export interface IngressOptions {
  readonly host: string;
  readonly port: number;
  /** Senders of the requests: callers, or other instances that have already chosen a route. */
  readonly from: 'callers' | 'peers';
  readonly clock: Clock;
  readonly turns: EventLoopTurns;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly routes: RouteTableStore;
  readonly retries: RetryAllowance;
  readonly serving: ServeDependencies;
  readonly quotas: Pick<AccountQuotas, 'authorize' | 'refund'>;
  /** Shared by all listeners of the process. */
  readonly intake: Pick<Intake, 'enter' | 'recordConnection'>;
  readonly loopWatch: Pick<LoopWatch, 'waitedMs' | 'unsureMs'>;
  readonly activity: Pick<LoopActivity, 'begin'>;
  /** Whether a planned stop has begun. */
  readonly isLeaving: () => boolean;
  /** Whether to refuse new requests, because too little time remains to answer them. */
  readonly isRefusing: () => boolean;
  /** Calls that this listener answers besides requests; only for other instances. */
  readonly calls?: CallHandlers;
}

/** An open listener for requests. */
export interface Ingress extends AsyncDisposable {
  readonly port: number;
  /** Number of requests that have been read or are being read, and are not completely answered. */
  openRequests(): number;
  /** Ends all requests that are being served, as at their deadlines; answers that have begun are closed. */
  expireRequests(): void;
  /** Applies the idle timeout of connections and the header timeout of the routes in force. */
  applyLimits(): void;
}

/** Maximum header section that is read at all; the routes' own limit is checked in addition. */
const MAX_HEADER_BYTES = 131_072;
/**
 * Maximum body of a request from another instance, bytes, where the limit for callers isn't higher. It may have accepted
 * the request under a limit that isn't known here.
 */
const MAX_PEER_BODY_BYTES = 67_108_864;
/** Idle timeout of connections from other instances: longer than gaps between bursts. */
const PEER_IDLE_TIMEOUT_MS = 60_000;
/** Idle timeout of callers' connections until the routes state one. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Retry delay while this instance has no routes: it reads them within about a second. */
const NO_ROUTES_RETRY_MS = 500;
/**
 * Retry delay while this instance is stopping: almost none, since another instance takes the
 * request.
 */
const STOPPING_RETRY_MS = 50;

/** Opens a listener that passes requests through to backend servers. */
export async function openIngress(options: IngressOptions): Promise<Ingress> {
  const { clock, random, logger, routes, retries, serving, quotas, intake, loopWatch } = options;
  const { isLeaving, isRefusing, calls } = options;
  const { dialect } = serving;
  const isForPeer = options.from === 'peers';
  const connections = createCallerConnections();
  const served = new Set<ServedHandle>();
  let openRequests = 0;

  const refuse = (
    incoming: IncomingMessage,
    answer: ClientAnswer,
    reason: RefusalReason,
    retryAfterMs?: number,
    extraFields: Readonly<Record<string, unknown>> = {},
  ): void => {
    const refusal: Refusal = { reason, outcome: 'notRun', retryAfterMs };
    answer.refuse(refusal);
    logger.event(PASS_THROUGH_EVENTS.refused, {
      requestId: headerText(incoming.headers[dialect.requestId]),
      reason,
      outcome: refusal.outcome,
      retryAfterMs,
      routesVersion: routes.current()?.table.version,
      ...extraFields,
    });
  };

  /** Refuses a request whose body is not read, and closes its connection. */
  const refuseUnread = (
    incoming: IncomingMessage,
    response: ServerResponse,
    answer: ClientAnswer,
    reason: RefusalReason,
  ): void => {
    connections.announceClose(response);
    response.setHeader('connection', 'close');
    refuse(incoming, answer, reason);
  };

  /** Returns the estimated arrival time of a request that is read from its socket now. */
  const estimateArrivalMs = (): number => {
    const nowMs = clock.monotonicMs();
    return nowMs - loopWatch.waitedMs(nowMs);
  };

  const planRequest = createRequestPlanner(dialect, random);

  const droppedHeaders = new Set([
    ...dialect.systemOnly,
    dialect.accountKey,
    dialect.timeLeftMs,
    dialect.targetServer,
    dialect.priority,
    'last-event-id',
    PLAN_HEADER,
  ]);

  const toRequest = (
    incoming: IncomingMessage,
    body: RequestBody,
    receivedAtMs: number,
  ): InboundRequest => ({
    requestId: headerText(incoming.headers[dialect.requestId]) ?? '',
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: headersToPassOn(incoming.rawHeaders, incoming.headers.connection, droppedHeaders),
    body,
    receivedAtMs,
    lastEventId: headerText(incoming.headers['last-event-id']),
    resumedRequestId: headerText(incoming.headers[dialect.resumedRequestId]),
    demand: dialect.readDemand(incoming.headers),
  });

  const logDropped = ({ requestId, receivedAtMs }: InboundRequest): void =>
    logger.event(PASS_THROUGH_EVENTS.callerGone, {
      requestId,
      attempts: 0,
      totalMs: Math.round(clock.monotonicMs() - receivedAtMs),
    });

  const refuseForQuota = (
    incoming: IncomingMessage,
    answer: ClientAnswer,
    { account, service }: RequestPlan,
    decision: Exclude<QuotaDecision, { kind: 'granted' }>,
  ): void => {
    const reason = decision.kind === 'spent' ? 'overQuota' : 'quotaUnknown';
    const standing = decision.kind === 'spent' ? decision.standing : undefined;
    refuse(incoming, answer, reason, decision.retryAfterMs, {
      account,
      quotaLeft: standing?.left,
      quotaUnheardRegions: standing?.unheardRegions,
    });
    serving.onRefused(reason, service);
  };

  /** Refuses a request whose plan is known, so that the refusal counts for its service. */
  const refusePlanned = (
    incoming: IncomingMessage,
    answer: ClientAnswer,
    { service }: RequestPlan,
    { reason, retryAfterMs }: Omit<Extract<ResumedPlan, { kind: 'refused' }>, 'kind'>,
  ): void => {
    refuse(incoming, answer, reason, retryAfterMs);
    serving.onRefused(reason, service);
  };

  const serveNow = (
    response: ServerResponse,
    answer: ClientAnswer,
    request: InboundRequest,
    plan: RequestPlan,
    refund: () => void,
  ): void => {
    const onDone = (done: ServedRequest): void => {
      if (done.hasNotRun) refund();
      serving.onDone(done);
    };
    const handle = serveRequest({ ...serving, onDone }, request, plan, answer);
    served.add(handle);
    response.on('close', () => {
      served.delete(handle);
      if (!response.writableFinished) handle.cancel();
    });
  };

  const serve = (
    incoming: IncomingMessage,
    response: ServerResponse,
    answer: ClientAnswer,
    planned: ChargedPlan,
    maxBodyBytes: number,
    receivedAtMs: number,
  ): void => {
    const { plan } = planned;
    const source = { incoming, response, account: plan.account, maxBytes: maxBodyBytes };
    receiveBody(serving.bodies, source, (received) => {
      switch (received.kind) {
        case 'gone':
          return;
        case 'tooLarge':
          refuseUnread(incoming, response, answer, 'bodyTooLarge');
          return;
        case 'noRoom':
          refusePlanned(incoming, answer, plan, { ...received, reason: 'noRoomForBody' });
          return;
        case 'whole':
          break;
        default:
          received satisfies never;
          return;
      }
      if (response.destroyed) return;
      if (!plan.isForwarded) retries.recordRequest(plan.service, receivedAtMs);
      const request = toRequest(incoming, received.body, receivedAtMs);
      watchForAnswer({ clock, logger, onUnanswered: serving.onUnanswered }, incoming, response, {
        requestId: request.requestId,
        route: plan.route,
        receivedAtMs,
        answerDeadlineMs: answerDeadlineMs(plan),
      });
      intake.enter({
        answerDeadlineMs: answerDeadlineMs(plan),
        isGone: () => response.destroyed,
        drop: () => logDropped(request),
        refuse: (retryAfterMs) => refuse(incoming, answer, 'instanceBehind', retryAfterMs),
        serve: () =>
          prepareRequest(
            { clock, quotas, routes, streamVersions: serving.streamVersions },
            {
              request,
              planned,
              isGone: () => response.destroyed,
              drop: () => logDropped(request),
              refuseForQuota: (charged, decision) =>
                refuseForQuota(incoming, answer, charged, decision),
              refuseResumed: (refused) => refusePlanned(incoming, answer, plan, refused),
              refuseTimedOut: () =>
                refusePlanned(incoming, answer, plan, {
                  reason: 'timedOut',
                  retryAfterMs: TIMED_OUT_RETRY_MS,
                }),
              serve: (ready, refund) => serveNow(response, answer, request, ready, refund),
            },
          ),
      });
    });
  };

  const handleCaller = (
    incoming: IncomingMessage,
    response: ServerResponse,
    answer: ClientAnswer,
  ): void => {
    const inForce = routes.current();
    if (inForce === undefined) {
      refuse(incoming, answer, 'noRoutesYet', NO_ROUTES_RETRY_MS);
      return;
    }
    const { limits } = inForce.table;
    if (headerBytes(incoming) > limits.headerBytes) {
      refuseUnread(incoming, response, answer, 'headersTooLarge');
      return;
    }
    const route = inForce.selector.select(incoming.headers.host ?? '', incoming.url ?? '/');
    const receivedAtMs = estimateArrivalMs();
    const planned: ChargedPlan | RefusedPlan =
      route === undefined
        ? { refused: 'noSuchRoute' }
        : planRequest(incoming.headers, route, inForce, receivedAtMs);
    if ('refused' in planned) {
      refuse(incoming, answer, planned.refused);
      return;
    }
    const plan = { ...planned.plan, unsureMs: loopWatch.unsureMs(clock.monotonicMs()) };
    serve(incoming, response, answer, { ...planned, plan }, limits.bodyBytes, receivedAtMs);
  };

  const handlePeer = (
    incoming: IncomingMessage,
    response: ServerResponse,
    answer: ClientAnswer,
  ): void => {
    const text = headerText(incoming.headers[PLAN_HEADER]);
    const receivedAtMs = estimateArrivalMs();
    const plan =
      text === undefined
        ? undefined
        : readPlan(text, receivedAtMs, loopWatch.unsureMs(clock.monotonicMs()));
    if (plan === undefined) {
      refuse(incoming, answer, 'malformedRequest');
      return;
    }
    // The instance that received the request from its caller has charged the client account.
    const callerBodyBytes = routes.current()?.table.limits.bodyBytes ?? 0;
    const maxBodyBytes = Math.max(MAX_PEER_BODY_BYTES, callerBodyBytes);
    const charge = { kind: 'free' } as const;
    serve(incoming, response, answer, { plan, charge }, maxBodyBytes, receivedAtMs);
  };

  const handle = (incoming: IncomingMessage, response: ServerResponse): void => {
    options.activity.begin('request', incoming.socket.remoteAddress);
    // A request that an instance sends on always has a plan, which no caller can set and no call has.
    const isCall = incoming.headers[PLAN_HEADER] === undefined;
    if (isCall && calls !== undefined && handleCall(calls, incoming, response, logger)) return;
    if (!connections.begin(incoming.socket, response)) return;
    openRequests += 1;
    response.on('close', () => {
      openRequests -= 1;
    });
    const announcesClose = () => isLeaving() && connections.announceClose(response);
    const answer = createClientAnswer({ response, announcesClose, isForPeer });
    if (isRefusing()) {
      refuse(incoming, answer, 'stopping', STOPPING_RETRY_MS);
      return;
    }
    if (isForPeer) handlePeer(incoming, response, answer);
    else handleCaller(incoming, response, answer);
  };

  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true }, handle);
  server.requestTimeout = 0;
  server.on('connection', intake.recordConnection);
  closeIdleConnections(server, options.turns);
  refuseMalformed(server, connections);
  const applyLimits = () => {
    const limits = routes.current()?.table.limits;
    server.keepAliveTimeout = isForPeer
      ? PEER_IDLE_TIMEOUT_MS
      : (limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS);
    if (limits !== undefined) server.headersTimeout = limits.headerTimeoutMs;
  };
  applyLimits();
  const port = await listen(server, options.host, options.port);
  // Only now, as nothing would end its timer if the start failed.
  const incomingBound = boundIncoming(server, clock, 2 * MAX_HEADER_BYTES);
  return {
    port,
    openRequests: () => openRequests,
    expireRequests() {
      for (const request of [...served]) request.expire();
    },
    applyLimits,
    async [Symbol.asyncDispose]() {
      incomingBound[Symbol.dispose]();
      server.close();
      server.closeAllConnections();
    },
  };
}
