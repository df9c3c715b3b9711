import type { Clock } from '../clock';
import type { AnswerHead, ConnectionPool, Exchange, ExchangeEnd } from '../exchanges';
import type { LossCause } from '../outcomes';
import { createHeldAnswer, createStreamAnswer } from './answer-reader';
import type { AnswerReader } from './answer-reader';
import type { Router } from './create-router';
import { ATTEMPTS_HEADER, OUTCOME_HEADER, PLAN_HEADER, answerByMs, writePlan } from './forwarding';
import { headerText, judgeAnswer } from './judge-answer';
import { observeDestination } from './observe-destination';
import type { ObservedEnd, SendableDestination } from './observe-destination';
import { PEER_IDLE_MS } from './other-regions';
import { sendWhenWarm } from './send-when-warm';
import type { StreamProgress } from './stream-progress';
import type { ClientAnswer, HeaderDialect, InboundRequest, RequestPlan } from './types';
import type { WarmCheck } from './warm-check';

/** What came of one try. */
export type AttemptResult =
  /** The whole answer has been passed on. */
  | { readonly kind: 'answered'; readonly status: number }
  /** No byte of the request has left this process. */
  | { readonly kind: 'neverSent'; readonly reason: string }
  /** The server says that it has not run the request. */
  | { readonly kind: 'rejected' }
  /** Another instance has refused it; it says whether the request may have run there. */
  | { readonly kind: 'peerRefused'; readonly hasNotRun: boolean }
  /** The server failed, and its answer says so; it can still be passed on. */
  | { readonly kind: 'serverFailed'; readonly status: number; passOn(): void }
  /** Nothing came that may be passed on, and the request may have run. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether the connection was reset, as it is when a server crashes. */
      readonly wasReset: boolean;
    };

/** One try under way. */
export interface Attempt {
  readonly to: SendableDestination;
  readonly sentAtMs: number;
  /** Gives the try up; its result still comes, unless `forget` was called. */
  abort(cause: LossCause): void;
  /** Drops the result: nobody waits for it any more. */
  forget(): void;
  /** When a byte of the answer last came, or else when the try began, monotonic ms. */
  lastByteAtMs(): number;
  /** When the first byte of a body came, monotonic ms; undefined before that. */
  firstByteAtMs(): number | undefined;
  /** Backend servers that another instance had sent the request to when its answer began, as it says itself. */
  serversTriedThere(): number | undefined;
}

/** What one try is made with. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly warmCheck: WarmCheck;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly to: SendableDestination;
  /** Backend servers that may get the request in this try. */
  readonly attemptsLent: number;
  readonly answer: ClientAnswer;
  readonly progress: StreamProgress;
  /** Another server has answered at the address of this one. */
  readonly onReplaced: (serverId: string) => void;
  readonly onResult: (result: AttemptResult) => void;
}

/** Time for a connection to a server of this region; several round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Time for a connection to an instance of another region; several round trips of the longest links. */
const PEER_CONNECT_TIMEOUT_MS = 800;
/** Connections to one other instance: as many requests as its region is likely to take from here at once. */
const PEER_MOST_CONNECTIONS = 128;
/** Idle time within which a kept connection to a server is trusted with a request that may not be repeated. */
const TRUSTED_IDLE_MS = 1_500;
/**
 * The same for one to another instance, which does not close it before a minute is over. One that has gone silent is
 * found by TCP's probes within some ten seconds.
 */
const PEER_TRUSTED_IDLE_MS = 12_000;
/** Idle time within which a kept connection is used for anything else; the pool closes it before. */
const ANY_IDLE_MS = 60_000;
/** Lowest urgency that backend servers know. */
const LEAST_URGENT = 9;

/** Name of a destination in log lines and among those that were tried: of one start of a server. */
export function destinationName(to: SendableDestination): string {
  return to.kind === 'server' ? to.server.incarnationId : to.peer.instanceId;
}

function isEventStream({ kind }: RequestPlan, { status, headers }: AnswerHead): boolean {
  const type = headerText(headers['content-type']) ?? '';
  return kind === 'stream' && status === 200 && type.startsWith('text/event-stream');
}

function mostIdleMs({ plan, to }: AttemptOptions): number {
  if (plan.kind !== 'nonIdempotent') return to.kind === 'server' ? ANY_IDLE_MS : PEER_IDLE_MS;
  return to.kind === 'server' ? TRUSTED_IDLE_MS : PEER_TRUSTED_IDLE_MS;
}

function headersFor(options: AttemptOptions, nowMs: number): readonly string[] {
  const { dialect, request, plan, to, progress, attemptsLent } = options;
  const leftMs = Math.max(1, Math.floor(answerByMs(plan) - nowMs));
  const headers = [...request.headers, dialect.timeLeftMs, String(leftMs)];
  if (progress.lastEventId !== undefined) headers.push('last-event-id', progress.lastEventId);
  if (to.kind === 'peer') {
    headers.push(PLAN_HEADER, writePlan(plan, attemptsLent, nowMs));
    return headers;
  }
  headers.push(dialect.targetServer, to.server.serverId);
  if (plan.account !== undefined) headers.push(dialect.accountName, plan.account);
  if (to.copyFrom !== undefined) headers.push(dialect.copyPromptFrom, to.copyFrom.address);
  if (request.demand !== undefined) {
    headers.push(dialect.priority, String(Math.min(LEAST_URGENT, plan.priority)));
  }
  return headers;
}

/** How many backend servers another instance says that it has sent a request to; undefined where it does not say. */
function readServersTried({ headers }: AnswerHead): number | undefined {
  const text = headerText(headers[ATTEMPTS_HEADER]);
  const count = Number(text);
  return text === undefined || !Number.isInteger(count) || count < 0 ? undefined : count;
}

/** Sends a request once and passes its answer on as it comes, as far as it may be. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { clock, dialect, pool, router, request, plan, to, answer, progress } = options;
  const sentAtMs = clock.monotonicMs();
  const destination = observeDestination(options, to);
  const droppedHeaders = new Set([dialect.notRun, OUTCOME_HEADER, ATTEMPTS_HEADER]);
  let exchange: Exchange | undefined;
  let reader: AnswerReader | undefined;
  let head: AnswerHead | undefined;
  /** What the head has shown already, where it decides the result whatever follows. */
  let decided: AttemptResult | undefined;
  let isFailure = false;
  let firstByteAtMs: number | undefined;
  let lastByteAtMs = sentAtMs;
  let abortedBy: LossCause | undefined;
  let isForgotten = false;

  const abort = (cause: LossCause): void => {
    abortedBy = cause;
    exchange?.abort(cause);
  };

  const report = (result: AttemptResult, end: ObservedEnd): void => {
    destination.noteEnd(isForgotten ? 'untold' : end);
    if (!isForgotten) options.onResult(result);
  };

  const noteFirstByte = (): void => {
    firstByteAtMs ??= clock.monotonicMs();
    destination.noteFirstByte();
  };

  const decide = (result: AttemptResult): void => {
    decided = result;
    if (result.kind === 'lost') abort('malformed');
  };

  const openReader = (answerHead: AnswerHead): void => {
    if (isEventStream(plan, answerHead)) {
      reader = createStreamAnswer(answerHead, answer, progress, droppedHeaders);
      return;
    }
    if (answer.headSent) {
      // A stream that was to go on has come to something else; nothing of it may reach the caller.
      decide({ kind: 'lost', reason: 'the stream could not be resumed', wasReset: false });
      return;
    }
    noteFirstByte();
    reader = createHeldAnswer(answerHead, answer, droppedHeaders);
  };

  const onHead = (answerHead: AnswerHead): void => {
    if (isForgotten) return;
    head = answerHead;
    lastByteAtMs = clock.monotonicMs();
    const load = dialect.readLoadReport(headerText(head.headers[dialect.load]) ?? '');
    if (load !== undefined) destination.noteLoad(load);
    const outcome = headerText(head.headers[OUTCOME_HEADER]);
    if (to.kind === 'peer' && outcome !== undefined) {
      decide({ kind: 'peerRefused', hasNotRun: outcome === 'notRun' });
      return;
    }
    const verdict = judgeAnswer(head, request.requestId, dialect);
    switch (verdict.kind) {
      case 'notRun':
        if (verdict.isReplaced && to.kind === 'server') {
          options.onReplaced(to.server.serverId);
        }
        decide({ kind: 'rejected' });
        return;
      case 'wrong':
        decide({ kind: 'lost', reason: verdict.reason, wasReset: false });
        return;
      case 'ran':
        isFailure = verdict.isFailure;
        openReader(head);
        return;
      default:
        verdict satisfies never;
    }
  };

  const onData = (chunk: Buffer): void => {
    if (isForgotten || reader === undefined) return;
    lastByteAtMs = clock.monotonicMs();
    noteFirstByte();
    destination.noteHeard();
    if (reader.take(chunk)) return;
    exchange?.pause();
    answer.onDrain(() => exchange?.resume());
  };

  const passOn = (): void => {
    reader?.finish();
  };

  const onWhole = (): void => {
    const status = head?.status ?? 0;
    if (isFailure) {
      report({ kind: 'serverFailed', status, passOn }, 'failed');
      return;
    }
    const problem = reader?.finish();
    if (problem === undefined) report({ kind: 'answered', status }, 'answered');
    else report({ kind: 'lost', reason: problem, wasReset: false }, 'failed');
  };

  const onEnd = (end: ExchangeEnd): void => {
    if (decided !== undefined) {
      report(decided, decided.kind === 'lost' ? 'failed' : 'refused');
      return;
    }
    switch (end.kind) {
      case 'whole':
        onWhole();
        return;
      case 'neverSent':
        if (to.kind === 'server' && abortedBy === undefined) {
          router.loads.noteUnreachable(to.server.incarnationId, clock.monotonicMs());
          options.warmCheck.noteDoubt(to.server);
        }
        report({ kind: 'neverSent', reason: end.reason }, 'refused');
        return;
      case 'lost':
        if (to.kind === 'server' && end.cause === 'reset') options.warmCheck.noteDoubt(to.server);
        // A request that ran out of time says nothing of its server, unless that was silent to all.
        report(
          { kind: 'lost', reason: end.reason, wasReset: end.cause === 'reset' },
          end.cause === 'timeout' && !destination.isSilent() ? 'untold' : 'failed',
        );
        return;
      default:
        end satisfies never;
    }
  };

  const isServer = to.kind === 'server';
  const send = (): Exchange | undefined =>
    pool.send(
      isServer ? to.server.address : to.peer.forwardAddress,
      {
        mostConnections: isServer ? to.mostConnections : PEER_MOST_CONNECTIONS,
        connectTimeoutMs: isServer ? CONNECT_TIMEOUT_MS : PEER_CONNECT_TIMEOUT_MS,
        mostIdleMs: mostIdleMs(options),
      },
      {
        method: request.method,
        path: request.path,
        headers: headersFor(options, clock.monotonicMs()),
        body: request.body,
      },
      { onHead, onData, onEnd },
    );
  if (isServer) {
    const onCold = () => report({ kind: 'neverSent', reason: 'the server is cold' }, 'untold');
    const { server, mostConnections } = to;
    const check = options.warmCheck;
    exchange = sendWhenWarm({ check, server, mostConnections, send, onEnd, onCold });
  } else {
    exchange = send();
    if (exchange === undefined) onEnd({ kind: 'neverSent', reason: 'no connection is free' });
  }
  const attempt: Attempt = {
    to,
    sentAtMs,
    abort,
    forget() {
      isForgotten = true;
    },
    lastByteAtMs: () => lastByteAtMs,
    firstByteAtMs: () => firstByteAtMs,
    serversTriedThere: () => (isServer || head === undefined ? undefined : readServersTried(head)),
  };
  return attempt;
}
