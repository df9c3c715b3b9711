import { createSteppedClock } from '../../../testing';
import type { AnswerListener, Exchange } from '../../exchanges';
import type { EndlessBytes } from '../../outcomes';
import { createAnswerRoom } from '../answer-limits';
import { startAttempt } from '../attempt';
import type { AttemptOptions } from '../attempt-types';
import type { AttemptResult } from '../attempt-result';
import { createStreamProgress } from '../stream-progress';
import type { RequestPlan } from '../types';
import { CHAT, REQUEST, createNorthInstance } from './north-instance';

const NOT_READ = (): undefined => undefined;
const STEP_MS = 100;
const ROOM_BYTES = 67_108_864;

/** Head of a sound event stream. */
export const STREAM_HEAD = {
  status: 200,
  headers: {
    id: REQUEST.requestId,
    signature: 's',
    'content-type': 'text/event-stream',
    'transfer-encoding': 'chunked',
  },
};

/** Returns the head of a failure that was not asked to state its length. */
export const failureHead = (more: Readonly<Record<string, string>> = {}) => ({
  status: 500,
  headers: { id: REQUEST.requestId, signature: 's', ...more },
});

/** Starts an attempt of a request over an exchange that the test plays. */
export function startPlayedAttempt(kind: RequestPlan['kind'], room = createAnswerRoom(ROOM_BYTES)) {
  const { clock, advanceTo } = createSteppedClock(STEP_MS);
  const region = createNorthInstance([]);
  region.announce('n-1', 'north-a');
  const to = region.choose();
  if (to.kind !== 'server') throw new TypeError('no server was chosen');
  let listener: AnswerListener | undefined;
  let isPaused = false;
  const endless: EndlessBytes[] = [];
  const written: Buffer[] = [];
  const results: AttemptResult[] = [];
  let headsSent = 0;
  let discards = 0;
  let passedOn = 0;
  const reason = 'ended by the test';
  const exchange: Exchange = {
    abort: (cause) => listener?.onEnd({ kind: 'lost', cause, reason }),
    abortEndless(found) {
      endless.push(found);
      listener?.onEnd({ kind: 'lost', cause: 'endless', endless: found, reason });
    },
    discardRest() {
      discards += 1;
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
    },
  };
  const options = {
    clock,
    dialect: {
      requestId: 'id',
      signature: 'signature',
      notRun: 'not-run',
      readLoadReport: NOT_READ,
      readLimit: () => ({ kind: 'unstated' }),
      readDeparture: () => ({ kind: 'unstated' }),
      readBrittleness: () => ({ kind: 'unstated' }),
    },
    pool: {
      send(_address: string, _options: object, _request: object, listens: AnswerListener) {
        listener = listens;
        return exchange;
      },
    },
    router: region.router,
    warmCheck: { isNeeded: () => false, markSuspect() {} },
    limits: { observe() {} },
    notices: { observe() {}, recordSent() {} },
    brittle: { observe() {} },
    reachability: { recordReached() {}, recordFailed() {} },
    room,
    mayReceive: () => true,
    request: REQUEST,
    plan: { service: CHAT, kind, objectiveMs: 500, deadlineAtMs: 9_000, timeoutAtMs: 9_000 },
    to,
    attemptsReserved: 1,
    answer: {
      get headSent() {
        return headsSent > 0;
      },
      recordStreamVersion() {},
      sendHead() {
        headsSent += 1;
      },
      sendData(chunk: Buffer) {
        written.push(chunk);
        return true;
      },
      end() {},
      onDrain() {},
    },
    progress: createStreamProgress(clock, undefined, () => {}),
    onRan() {},
    onPassingOn() {
      passedOn += 1;
    },
    onReplaced() {},
    onResult: (result: AttemptResult) => results.push(result),
  } as unknown as AttemptOptions;
  const attempt = startAttempt(options);
  if (listener === undefined) throw new TypeError('nothing was sent');
  const { onHead, onData, onEnd } = listener;
  return {
    attempt,
    region,
    serverId: to.server.incarnationId,
    advanceTo,
    onHead,
    onData: (text: string | Buffer) => onData(Buffer.from(text)),
    /** Sends bytes in chunks until they are all sent, the exchange has ended or it is paused; returns how many were sent. */
    sendMany(bytes: number, chunk: Buffer): number {
      let sent = 0;
      while (sent < bytes && results.length === 0 && !isPaused) {
        onData(chunk);
        sent += chunk.length;
      }
      return sent;
    },
    /** Number of times that the rest of the answer was dropped. */
    discards: () => discards,
    onWhole: () => onEnd({ kind: 'whole' }),
    isPaused: () => isPaused,
    /** What the attempt found to have no end. */
    endless,
    results,
    writtenBytes: () => written.reduce((sum, { length }) => sum + length, 0),
    writtenText: () => Buffer.concat(written).toString(),
    headsSent: () => headsSent,
    /** Number of times that something was passed on that decides between attempts. */
    passedOn: () => passedOn,
  };
}
