import type { Socket } from 'node:net';
import type { RandomSource } from '../src/core/random';
import { chunkOf, streamHead, wholeAnswer, withHeaders } from '../standins/announced-server';
import type { ReceivedRequest, ServerScript } from '../standins/announced-server';
import type { Brittleness } from './brittleness';
import { LONG_PATH, SLOW_PREFIX, SOLO_PREFIX } from './configuration';
import { EVENTS_PER_STREAM, eventText, plainBody, streamBody } from './promises';
import type { EndlessServers } from './endless';
import type { Stillness } from './stillness';
import type {
  FailedAnswer,
  ServerArrival,
  ServerRun,
  ServerStatement,
  SilencedRequest,
} from './types';

/** One start of a server that answers by a script. */
export interface ScriptedServer {
  readonly serverId: string;
  /** Identifies this start of the server, as the instances' logs do. */
  readonly startId: string;
  readonly softwareVersion: string;
}

/** Scripts of the servers of a soak, and what they have recorded. */
export interface ServerScripts {
  readonly runs: readonly ServerRun[];
  readonly arrivals: readonly ServerArrival[];
  readonly statements: readonly ServerStatement[];
  /** Answers that servers broke off, and failures of their own. */
  readonly failedAnswers: readonly FailedAnswer[];
  /** Limits that starts of servers name, requests a second. */
  readonly limits: Map<string, number>;
  /** Starts of servers that state that they are leaving. */
  readonly leavingStarts: Set<string>;
  /** Pauses that starts of servers ask for while they refuse all requests, ms; 0 is not stated. */
  readonly refusingStarts: Map<string, number>;
  scriptOf(server: ScriptedServer): ServerScript;
  /** Records requests at a server that falls silent; returns those that are open, to which later ones are added. */
  fallSilent(startId: string): SilencedRequest[];
}

/** Options of `createServerScripts`. */
export interface ServerScriptsOptions {
  readonly random: RandomSource;
  readonly brittleness: Brittleness;
  readonly stillness: Stillness;
  readonly endless: Pick<EndlessServers, 'answer' | 'shapeOf'>;
  readonly crashesOn: (request: ReceivedRequest) => boolean;
  /** Called when a start of a server ends for what it was sent. */
  readonly onFall: (startId: string) => void;
}

/** A request that a server has received and not yet answered. */
interface OpenRequest {
  readonly requestId: string;
  readonly socket: Socket;
  /** When it arrived, Unix ms. */
  readonly sinceMs: number;
}

const MS_PER_S = 1_000;
const EVENT_GAP_MS = 15;
/** Interval between the events of a slow stream, ms. */
const SLOW_EVENT_GAP_MS = 150;
/** Time that a long request takes, ms. */
const LONG_RUN_MS = 300;
/** Shares of the requests that a server answers with a failure, and whose connection it resets. */
const FAILING_SHARE = 0.05;
const BREAKING_SHARE = 0.03;
/** Share of the streams that their callers have to take up. */
const BREAKING_SOLO_SHARE = 0.3;
/** Time from the arrival of a request until a server crashes on a part of its prompt, ms. */
const CRASH_DELAY_MS = 30;
/** Status of the failures of servers. */
const FAILURE_STATUS = 500;

const failureOf = (request: ReceivedRequest) =>
  wholeAnswer(request, 'failed', { status: FAILURE_STATUS });
const isFailure = (answer: string) => answer.startsWith(`HTTP/1.1 ${FAILURE_STATUS} `);
const requestIdOf = ({ headers }: ReceivedRequest): string => headers.get('x-request-id') ?? '';
const STREAM_PREFIXES = ['/plans', '/chat', SOLO_PREFIX, SLOW_PREFIX];
const isStream = ({ path }: ReceivedRequest) =>
  STREAM_PREFIXES.some((prefix) => path.startsWith(prefix));

/** Creates the scripts of servers that have received nothing yet. */
export function createServerScripts(options: ServerScriptsOptions): ServerScripts {
  const { random, brittleness, stillness, endless, crashesOn, onFall } = options;
  const runs: ServerRun[] = [];
  const limits = new Map<string, number>();
  const arrivals: ServerArrival[] = [];
  const statements: ServerStatement[] = [];
  const leavingStarts = new Set<string>();
  const refusingStarts = new Map<string, number>();
  const failedAnswers: FailedAnswer[] = [];
  /** Open requests of which an event was sent. */
  const begun = new WeakSet<OpenRequest>();
  const openRequests = new Map<string, OpenRequest[]>();
  const silenced = new Map<string, SilencedRequest[]>();

  const openRequest = (startId: string, requestId: string, socket: Socket): OpenRequest => {
    const opened = { requestId, socket, sinceMs: Date.now() };
    const others = (openRequests.get(startId) ?? []).filter((one) => !one.socket.destroyed);
    openRequests.set(startId, [...others, opened]);
    return opened;
  };

  const closeRequest = (startId: string, closed: OpenRequest): void => {
    const others = (openRequests.get(startId) ?? []).filter((one) => one !== closed);
    openRequests.set(startId, others);
  };

  /** Adds what a server states to the head of an answer. */
  const withStatements = (startId: string, head: string): string => {
    const perSecond = limits.get(startId);
    const maxRejections = brittleness.statedMax();
    const headers = perSecond === undefined ? [] : [`Server-Limit: ${perSecond}`];
    if (maxRejections !== undefined) headers.push(`Server-Brittle: ${maxRejections}`);
    if (leavingStarts.has(startId)) headers.push('Server-Leaving: 1');
    return withHeaders(head, headers);
  };

  /** Returns the answer of a server that refuses a request. */
  const refusalOf = (request: ReceivedRequest, pauseMs: number): string => {
    const headers = ['X-Not-Executed: 1'];
    const maxRejections = brittleness.statedMax();
    if (pauseMs > 0) headers.push(`Retry-After: ${pauseMs / MS_PER_S}`);
    if (maxRejections !== undefined) headers.push(`Server-Brittle: ${maxRejections}`);
    return withHeaders(wholeAnswer(request, '', { status: 503 }), headers);
  };

  /** Draws the answer to a request without a stream; undefined if the server breaks the connection instead. */
  const answerOf = (request: ReceivedRequest): string | undefined => {
    if (request.path === LONG_PATH) return wholeAnswer(request, plainBody(requestIdOf(request)));
    if (random.next() < FAILING_SHARE) return failureOf(request);
    if (random.next() < BREAKING_SHARE) return undefined;
    return wholeAnswer(request, plainBody(requestIdOf(request)));
  };

  /** Records that an answer that states the departure of a server was sent. */
  const recordDeparture = (startId: string, requestId: string): void => {
    if (!leavingStarts.has(startId)) return;
    statements.push({ requestId, server: startId, atMs: Date.now(), kind: 'departure' });
  };

  const scriptOf = ({ serverId, startId, softwareVersion }: ScriptedServer): ServerScript => {
    const fail = (requestId: string, kind: FailedAnswer['kind']): void => {
      failedAnswers.push({ requestId, server: startId, atMs: Date.now(), kind });
    };

    const recordRun = ({ headers }: ReceivedRequest, { requestId, sinceMs }: OpenRequest): void => {
      const account = headers.get('x-tenant-id');
      const sawKey = headers.get('x-api-key') !== undefined;
      runs.push({ requestId, serverId, server: startId, atMs: sinceMs, account, sawKey });
    };

    /** Records a request at a server that has fallen silent: it may have run all the same. */
    const recordSilenced = (request: ReceivedRequest, opened: OpenRequest): void => {
      const { requestId, sinceMs } = opened;
      const wanted = request.headers.get('x-target-instance') ?? serverId;
      if (request.path === '/health' || wanted !== serverId) return;
      recordRun(request, opened);
      silenced.get(startId)?.push({ requestId, sinceMs, hasBegun: false });
    };

    /** Returns the body of a whole answer. */
    const soundBodyOf = (request: ReceivedRequest): string => {
      const requestId = requestIdOf(request);
      if (!isStream(request)) return plainBody(requestId);
      const lastEventId = Number(request.headers.get('last-event-id') ?? 0);
      return streamBody(requestId, lastEventId, softwareVersion);
    };

    const breakOff = ({ requestId, socket }: OpenRequest): void => {
      if (!socket.destroyed) fail(requestId, 'brokenOff');
      socket.resetAndDestroy();
    };

    const streamTo = (request: ReceivedRequest, opened: OpenRequest): void => {
      const { requestId, socket } = opened;
      const first = Number(request.headers.get('last-event-id') ?? 0) + 1;
      const breakingShare = request.path.startsWith(SOLO_PREFIX)
        ? BREAKING_SOLO_SHARE
        : BREAKING_SHARE;
      const breaksAt = random.next() < breakingShare ? first + 3 : Infinity;
      let eventId = first;
      const gapMs = request.path.startsWith(SLOW_PREFIX) ? SLOW_EVENT_GAP_MS : EVENT_GAP_MS;
      recordDeparture(startId, requestId);
      socket.write(withStatements(startId, streamHead(request)));
      const timer = setInterval(() => {
        if (stillness.isSilent(startId)) clearInterval(timer);
        if (stillness.isStill(startId)) return;
        if (eventId >= breaksAt) breakOff(opened);
        if (socket.destroyed || eventId > EVENTS_PER_STREAM) {
          clearInterval(timer);
          brittleness.release(startId);
          closeRequest(startId, opened);
          if (!socket.destroyed) socket.write(chunkOf(''));
          return;
        }
        socket.write(chunkOf(eventText(requestId, eventId, softwareVersion)));
        begun.add(opened);
        eventId += 1;
      }, gapMs);
    };

    const answerTo = (request: ReceivedRequest, opened: OpenRequest): void => {
      const { requestId, socket } = opened;
      const answer = answerOf(request);
      const workMs = request.path === LONG_PATH ? LONG_RUN_MS : brittleness.workMs();
      const finish = (): void => {
        brittleness.release(startId);
        closeRequest(startId, opened);
        if (answer === undefined) breakOff(opened);
        else if (!socket.destroyed) {
          if (isFailure(answer)) fail(requestId, 'failure');
          recordDeparture(startId, requestId);
          socket.write(withStatements(startId, answer));
        }
      };
      setTimeout(() => stillness.whenMoving(startId, finish), workMs).unref();
    };

    /** Begins an answer without end if the server is in trouble; returns whether it is. */
    const answerEndlessly = (request: ReceivedRequest, opened: OpenRequest): boolean => {
      const { requestId, socket } = opened;
      const isRun = endless.shapeOf(startId)?.kind !== 'notExecuted';
      const wanted = { request, isStream: isStream(request), soundBody: soundBodyOf(request) };
      if (!endless.answer(startId, requestId, wanted, socket)) return false;
      closeRequest(startId, opened);
      if (request.path === '/health') return true;
      arrivals.push({ requestId, server: startId, atMs: opened.sinceMs });
      if (isRun) recordRun(request, opened);
      fail(requestId, 'brokenOff');
      return true;
    };

    /** Reads a request that has arrived. */
    const read = (request: ReceivedRequest, opened: OpenRequest): void => {
      const { requestId, socket } = opened;
      const refuse = (answer: string): void => {
        closeRequest(startId, opened);
        if (!socket.destroyed) socket.write(answer);
      };
      const isForOther = (request.headers.get('x-target-instance') ?? serverId) !== serverId;
      if (!isForOther && answerEndlessly(request, opened)) return;
      const pauseMs = refusingStarts.get(startId);
      if (request.path === '/health') {
        const healthy = withStatements(startId, wholeAnswer(request, ''));
        refuse(pauseMs === undefined ? healthy : refusalOf(request, pauseMs));
        return;
      }
      if (isForOther) {
        refuse(wholeAnswer(request, '', { status: 421 }));
        return;
      }
      const arrival = { requestId, server: startId, atMs: Date.now() };
      arrivals.push(arrival);
      if (pauseMs !== undefined) {
        if (pauseMs > 0) statements.push({ ...arrival, kind: 'pause', waitMs: pauseMs });
        refuse(refusalOf(request, pauseMs));
        return;
      }
      if (crashesOn(request)) {
        const fall = () => stillness.whenMoving(startId, () => onFall(startId));
        setTimeout(fall, CRASH_DELAY_MS).unref();
        return;
      }
      const admission = brittleness.admit(startId);
      if (admission !== 'run') {
        refuse(refusalOf(request, 0));
        if (admission === 'fall') onFall(startId);
        return;
      }
      recordRun(request, opened);
      if (isStream(request)) streamTo(request, opened);
      else answerTo(request, opened);
    };

    return (request, socket) => {
      const opened = openRequest(startId, requestIdOf(request), socket);
      if (stillness.isSilent(startId)) recordSilenced(request, opened);
      stillness.whenMoving(startId, () => read(request, opened));
    };
  };

  return {
    runs,
    arrivals,
    statements,
    failedAnswers,
    limits,
    leavingStarts,
    refusingStarts,
    scriptOf,
    fallSilent(startId) {
      const requests = (openRequests.get(startId) ?? [])
        .filter(({ socket }) => !socket.destroyed)
        .map((one) => ({
          requestId: one.requestId,
          sinceMs: one.sinceMs,
          hasBegun: begun.has(one),
        }));
      silenced.set(startId, requests);
      return requests;
    },
  };
}
