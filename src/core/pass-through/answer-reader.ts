import type { AnswerHead } from '../exchanges';
import { createEventSplitter } from '../streams';
import { readEventId } from './read-event-id';
import type { StreamProgress } from './stream-progress';
import type { ClientAnswer } from './types';
import { answerHeaders } from './headers';

/** Takes the body of one answer and passes on what may be passed on. */
export interface AnswerReader {
  /** Returns false where the caller reads slowly. */
  take(chunk: Buffer): boolean;
  /** The answer has come whole; returns what is wrong with it, if anything. */
  finish(): string | undefined;
}

/** Larger answers are passed on while they come, at the price that a broken one cannot be tried again. */
const MOST_HELD_BYTES = 262_144;

/**
 * Holds an answer until it is whole, so that one which breaks off can be tried again, and so that nothing of it
 * is ever taken for a whole answer.
 */
export function createHeldAnswer(
  head: AnswerHead,
  answer: ClientAnswer,
  dropped: ReadonlySet<string>,
): AnswerReader {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const isTooLarge = () => bytes > MOST_HELD_BYTES;
  const flush = (): boolean => {
    if (!answer.headSent) answer.sendHead(head.status, answerHeaders(head.headers, dropped));
    let isFast = true;
    for (const chunk of chunks.splice(0)) isFast = answer.sendData(chunk) && isFast;
    return isFast;
  };
  return {
    take(chunk) {
      bytes += chunk.length;
      chunks.push(Buffer.from(chunk));
      return isTooLarge() ? flush() : true;
    },
    finish() {
      flush();
      answer.end();
      return undefined;
    },
  };
}

/** Passes whole events on as they come; half an event is never passed on. */
export function createStreamAnswer(
  head: AnswerHead,
  answer: ClientAnswer,
  progress: StreamProgress,
  dropped: ReadonlySet<string>,
): AnswerReader {
  const splitter = createEventSplitter();
  const sendHead = () => {
    // A stream that goes on at another server keeps the head of the first.
    if (!answer.headSent) answer.sendHead(head.status, answerHeaders(head.headers, dropped));
  };
  return {
    take(chunk) {
      const events = splitter.add(chunk);
      if (events.length === 0) return true;
      sendHead();
      for (const event of events) progress.note(readEventId(event));
      return answer.sendData(events.length === 1 ? (events[0] ?? chunk) : Buffer.concat(events));
    },
    finish() {
      if (splitter.rest().length > 0) return 'the stream ended within an event';
      sendHead();
      answer.end();
      return undefined;
    },
  };
}
