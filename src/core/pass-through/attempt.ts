import type { BrittleServers } from '../brittle-servers';
import type { Clock } from '../clock';
import type { AnswerHead, ConnectionPool, Exchange, ExchangeEnd } from '../exchanges';
import type { AbortCause } from '../outcomes';
import type { Reachability } from '../reachability';
import type { ServerLimits } from '../server-limits';
import type { ServerNotices } from '../server-notices';
import type { KnownServer } from '../server-registry';
import { createBufferedReader, createStreamReader } from './answer-reader';
import type { AnswerReader } from './answer-reader';
import type { Router, SendableDestination } from './create-router';
import {
  ATTEMPTS_HEADER,
  OUTCOME_HEADER,
  REASON_HEADER,
  STREAM_VERSION_HEADER,
  readDecisiveReason,
} from './forwarding';
import { announceAnswer } from './announce-answer';
import { isEventStream, readServersTried, versionOfWriter } from './answer-head';
import { attemptHeaders } from './attempt-headers';
import type { AttemptResult } from './attempt-result';
import { classifyAnswer, headerText } from './classify-answer';
import type { AnswerClassification } from './classify-answer';
import { observeDestination } from './observe-destination';
import type { ObservedEnd } from './observe-destination';
import { UNAVAILABLE_STATUS, observeStatements, readPause } from './observe-statements';
import { PEER_IDLE_MS } from './other-regions';
import { sendWhenWarm } from './send-when-warm';
import type { StreamProgress } from './stream-progress';
import type { ClientAnswer, HeaderDialect, InboundRequest, RequestPlan } from './types';
import type { WarmCheck } from './warm-check';

/** An attempt in progress. */
export interface Attempt {
  readonly to: SendableDestination;
  readonly sentAtMs: number;
  /** Aborts the attempt; its result is still reported, unless `discard` was called. */
  abort(cause: AbortCause): void;
  /**
   * Aborts the attempt and discards its result, since nothing waits for it any more. Silence counts against its server, any
   * other cause does not.
   */
  discard(cause: AbortCause): void;
  /**
   * Time of the last byte of the answer, or else of the start of the attempt, monotonic ms. While the caller reads too
   * slowly, it is the present time, since nothing is read from the server then.
   */
  lastByteAtMs(): number;
  /** Time of the first byte of a body, monotonic ms; undefined before that. */
  firstByteAtMs(): number | undefined;
  /**
   * Number of backend servers that another instance had sent the request to when its answer began,
   * as reported by it.
   */
  serversTriedThere(): number | undefined;
}

/** Options of `startAttempt`. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly dialect: HeaderDialect;
  readonly pool: ConnectionPool;
  readonly router: Router;
  readonly warmCheck: WarmCheck;
  readonly limits: Pick<ServerLimits, 'observe'>;
  readonly notices: Pick<ServerNotices, 'observe' | 'recordSent'>;
  readonly brittle: Pick<BrittleServers, 'observe'>;
  readonly reachability: Pick<Reachability, 'recordReached' | 'recordFailed'>;
  /** Whether a server that was chosen a moment ago may still get a request. */
  readonly mayReceive: (server: KnownServer) => boolean;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly to: SendableDestination;
  /** Maximum number of backend servers that may get the request in this attempt. */
  readonly attemptsReserved: number;
  readonly answer: ClientAnswer;
  readonly progress: StreamProgress;
  /** Called before something of the answer is passed on. */
  readonly onPassingOn: () => void;
  /** Called when a server other than `serverId` has answered at its address. */
  readonly onReplaced: (serverId: string) => void;
  readonly onResult: (result: AttemptResult) => void;
}

/** Connect timeout for a server of this region: several round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Connect timeout for an instance of another region: several round trips of the longest links. */
const PEER_CONNECT_TIMEOUT_MS = 800;
/**
 * Maximum connections to another instance: the number of requests that its region is likely to
 * accept from this instance at once.
 */
const PEER_MAX_CONNECTIONS = 128;
/**
 * Maximum idle time of a reused connection to a server for a request that may not be repeated. One
 * that was idle for longer may have broken unnoticed, and the request would be lost with it.
 */
const TRUSTED_IDLE_MS = 1_500;
/**
 * Like `TRUSTED_IDLE_MS`, for a connection to another instance, which keeps idle connections for a
 * minute. TCP probes detect a silent one within about ten seconds.
 */
const PEER_TRUSTED_IDLE_MS = 12_000;
/**
 * Maximum idle time of a reused connection for other requests; the pool closes idle connections
 * earlier.
 */
const MAX_IDLE_MS = 60_000;

/**
 * Returns the name of a destination in log lines and in the set of tried destinations. For a
 * server, it identifies one incarnation.
 */
export function destinationName(to: SendableDestination): string {
  return to.kind === 'server' ? to.server.incarnationId : to.peer.instanceId;
}

function maxIdleMs({ plan, to }: AttemptOptions): number {
  if (plan.kind !== 'nonIdempotent') return to.kind === 'server' ? MAX_IDLE_MS : PEER_IDLE_MS;
  return to.kind === 'server' ? TRUSTED_IDLE_MS : PEER_TRUSTED_IDLE_MS;
}

/** Sends a request once and passes its answer on as it arrives, as far as that is allowed. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { clock, dialect, pool, router, request, plan, to, progress } = options;
  const answer = announceAnswer(options.answer, options.onPassingOn);
  const sentAtMs = clock.monotonicMs();
  const observer = observeDestination(options, to);
  const droppedHeaders = new Set([
    dialect.notRun,
    OUTCOME_HEADER,
    REASON_HEADER,
    ATTEMPTS_HEADER,
    STREAM_VERSION_HEADER,
  ]);
  let exchange: Exchange | undefined;
  let reader: AnswerReader | undefined;
  let head: AnswerHead | undefined;
  /** Result that the head alone determines, whatever follows. */
  let decidedResult: AttemptResult | undefined;
  let isFailure = false;
  let firstByteAtMs: number | undefined;
  let lastByteAtMs = sentAtMs;
  let isPaused = false;
  let abortedBy: AbortCause | undefined;
  let isDiscarded = false;
  /** Whether a connection for the request was free or could be opened. */
  let hasBegun = false;

  const abort = (cause: AbortCause): void => {
    abortedBy = cause;
    exchange?.abort(cause);
  };

  /** Records that bytes arrived over this instance's own link to the server. */
  const recordReached = (): void => {
    if (to.kind === 'server') options.reachability.recordReached(to.server.incarnationId);
  };

  const report = (result: AttemptResult, end: ObservedEnd): void => {
    const showsNothing = isDiscarded && abortedBy !== 'silence';
    observer.recordEnd(showsNothing ? 'inconclusive' : end);
    if (!isDiscarded) options.onResult(result);
  };

  const recordFirstByte = (): void => {
    firstByteAtMs ??= clock.monotonicMs();
    observer.recordFirstByte();
  };

  const decide = (result: AttemptResult): void => {
    decidedResult = result;
    if (result.kind === 'lost') abort('malformed');
  };

  const openReader = (answerHead: AnswerHead): void => {
    if (isEventStream(plan, answerHead)) {
      const version = versionOfWriter(to, answerHead);
      reader = createStreamReader(answerHead, version, answer, progress, droppedHeaders);
      return;
    }
    if (answer.headSent) {
      // A resumed stream got an answer that is no event stream; nothing of it may reach the caller.
      decide({
        kind: 'lost',
        reason: 'the stream could not be resumed',
        cause: 'malformed',
        wasBrokenOff: false,
      });
      return;
    }
    recordFirstByte();
    reader = createBufferedReader(answerHead, answer, droppedHeaders);
  };

  const rejection = (answerHead: AnswerHead): AttemptResult => {
    const pause = readPause(answerHead, options);
    const pauseMs = pause.kind === 'pause' ? pause.waitMs : undefined;
    return { kind: 'rejected', status: answerHead.status, pauseMs };
  };

  /** Records what an answer states, unless it is of another server or of an earlier request. */
  const observeAnswer = (answerHead: AnswerHead, classification: AnswerClassification): void => {
    if (to.kind === 'peer' || classification.kind === 'wrong') return;
    if (classification.kind === 'notRun' && classification.isReplaced) return;
    observeStatements(options, to.server, answerHead, 'answer');
  };

  const onHead = (answerHead: AnswerHead): void => {
    recordReached();
    if (isDiscarded) return;
    head = answerHead;
    lastByteAtMs = clock.monotonicMs();
    const load = dialect.readLoadReport(headerText(head.headers[dialect.load]) ?? '');
    if (load !== undefined) observer.recordLoad(load);
    const outcome = headerText(head.headers[OUTCOME_HEADER]);
    if (to.kind === 'peer' && outcome !== undefined) {
      const pause = readPause(head, options);
      const retryAfterMs = pause.kind === 'pause' ? pause.waitMs : undefined;
      const statedReason = headerText(head.headers[REASON_HEADER]);
      decide({
        kind: 'peerRefused',
        hasNotRun: outcome === 'notRun',
        reason: readDecisiveReason(statedReason),
        statedReason,
        retryAfterMs,
      });
      return;
    }
    const classification = classifyAnswer(head, request.requestId, dialect);
    observeAnswer(head, classification);
    switch (classification.kind) {
      case 'notRun':
        if (head.status === UNAVAILABLE_STATUS) observer.recordTaken(false);
        if (classification.isReplaced && to.kind === 'server') {
          options.onReplaced(to.server.serverId);
        }
        decide(rejection(head));
        return;
      case 'wrong':
        decide({
          kind: 'lost',
          reason: classification.reason,
          cause: 'malformed',
          wasBrokenOff: false,
        });
        return;
      case 'ran':
        observer.recordTaken(true);
        isFailure = classification.isFailure;
        openReader(head);
        return;
      default:
        classification satisfies never;
    }
  };

  const onData = (chunk: Buffer): void => {
    recordReached();
    if (isDiscarded || reader === undefined) return;
    lastByteAtMs = clock.monotonicMs();
    recordFirstByte();
    observer.recordData();
    if (reader.addChunk(chunk)) return;
    isPaused = true;
    exchange?.pause();
    answer.onDrain(() => {
      isPaused = false;
      lastByteAtMs = clock.monotonicMs();
      exchange?.resume();
    });
  };

  const passOn = (): void => {
    reader?.finish();
  };

  const onWhole = (): void => {
    const status = head?.status ?? 0;
    // The end of an answer may still have been checked when another attempt won.
    if (isDiscarded) {
      report({ kind: 'answered', status }, 'inconclusive');
      return;
    }
    // Of a failure that is too large to be kept, the caller has got a part.
    if (isFailure && !answer.headSent) {
      report({ kind: 'serverFailed', status, passOn }, 'failed');
      return;
    }
    const problem = reader?.finish();
    const seen = isFailure ? 'failed' : 'answered';
    if (problem === undefined) report({ kind: 'answered', status }, seen);
    else report({ kind: 'lost', reason: problem, cause: 'reset', wasBrokenOff: true }, 'failed');
  };

  const onEnd = (end: ExchangeEnd): void => {
    if (decidedResult !== undefined) {
      report(decidedResult, decidedResult.kind === 'lost' ? 'failed' : 'refused');
      return;
    }
    switch (end.kind) {
      case 'whole':
        onWhole();
        return;
      case 'neverSent':
        if (to.kind === 'server' && abortedBy === undefined) {
          router.loads.recordUnreachable(to.server.incarnationId, clock.monotonicMs());
          options.warmCheck.markSuspect(to.server);
          if (hasBegun) options.reachability.recordFailed(to.server.incarnationId);
        }
        report({ kind: 'neverSent', reason: end.reason }, 'refused');
        return;
      case 'lost':
        if (to.kind === 'server' && end.cause === 'reset') options.warmCheck.markSuspect(to.server);
        // A timeout shows nothing about the server, unless the server was silent to all requests.
        report(
          {
            kind: 'lost',
            reason: end.reason,
            cause: end.cause,
            wasBrokenOff: end.cause === 'reset',
            ...(end.cause === 'endless' && { endless: end.endless }),
          },
          end.cause === 'timeout' && !observer.isSilent() ? 'inconclusive' : 'failed',
        );
        return;
      default:
        end satisfies never;
    }
  };

  const isServer = to.kind === 'server';
  const send = (): Exchange | undefined => {
    if (isServer) options.notices.recordSent(to.server.incarnationId);
    const begun = pool.send(
      isServer ? to.server.address : to.peer.forwardAddress,
      {
        maxConnections: isServer ? to.maxConnections : PEER_MAX_CONNECTIONS,
        connectTimeoutMs: isServer ? CONNECT_TIMEOUT_MS : PEER_CONNECT_TIMEOUT_MS,
        maxIdleMs: maxIdleMs(options),
      },
      {
        method: request.method,
        path: request.path,
        headers: attemptHeaders(options, clock.monotonicMs()),
        body: request.body,
      },
      { onHead, onData, onEnd },
    );
    hasBegun = begun !== undefined;
    return begun;
  };
  if (isServer) {
    const onUnusable = (reason: string) => report({ kind: 'neverSent', reason }, 'inconclusive');
    const { server, maxConnections } = to;
    const { warmCheck: check, mayReceive } = options;
    exchange = sendWhenWarm({
      check,
      mayReceive,
      server,
      maxConnections,
      send,
      onEnd,
      onUnusable,
    });
  } else {
    exchange = send();
    if (exchange === undefined) onEnd({ kind: 'neverSent', reason: 'no connection is free' });
  }
  const attempt: Attempt = {
    to,
    sentAtMs,
    abort,
    discard(cause) {
      isDiscarded = true;
      abort(cause);
    },
    lastByteAtMs: () => (isPaused ? clock.monotonicMs() : lastByteAtMs),
    firstByteAtMs: () => firstByteAtMs,
    serversTriedThere: () => (isServer || head === undefined ? undefined : readServersTried(head)),
  };
  return attempt;
}
