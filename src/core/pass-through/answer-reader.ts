import { isCloseDelimited } from '../exchanges';
import type { AnswerHead } from '../exchanges';
import { createEventSplitter } from '../streams';
import { readEventId } from './read-event-id';
import type { StreamProgress } from './stream-progress';
import type { ClientAnswer } from './types';
import { answerHeaders } from './headers';

/** Receives the body of one answer and passes on the parts that may be passed on. */
export interface AnswerReader {
  /** Adds a chunk of the body; returns false while the caller reads slowly. */
  addChunk(chunk: Buffer): boolean;
  /** Ends the answer after its last chunk; returns a problem with it, undefined if it is complete. */
  finish(): string | undefined;
}

/**
 * Maximum size of a buffered answer. Larger ones are passed on as they arrive, so they cannot be
 * retried if they break off.
 */
const MAX_BUFFERED_BYTES = 262_144;

/**
 * Creates a reader that buffers an answer until it is complete, so that an answer that breaks off
 * can be retried and a partial one is never taken for complete.
 */
export function createBufferedReader(
  head: AnswerHead,
  answer: ClientAnswer,
  dropped: ReadonlySet<string>,
): AnswerReader {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const isTooLarge = () => bytes > MAX_BUFFERED_BYTES;
  const flush = (): boolean => {
    if (!answer.headSent) answer.sendHead(head.status, answerHeaders(head.headers, dropped));
    let mayContinue = true;
    for (const chunk of chunks.splice(0)) mayContinue = answer.sendData(chunk) && mayContinue;
    return mayContinue;
  };
  return {
    addChunk(chunk) {
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

/**
 * Creates a reader that passes on complete events as they arrive, and never a part of an event. `softwareVersion` is that
 * of the server that writes them, if it is known.
 */
export function createStreamReader(
  head: AnswerHead,
  softwareVersion: string | undefined,
  answer: ClientAnswer,
  progress: StreamProgress,
  dropped: ReadonlySet<string>,
): AnswerReader {
  const splitter = createEventSplitter();
  // A stream that is resumed may have nothing left. One that begins has an event, unless its server crashed before it.
  const isEmptyIfCut = isCloseDelimited(head.headers) && progress.lastEventId === undefined;
  const sendHead = () => {
    // A stream that is resumed at another server keeps the head of the first answer.
    if (answer.headSent) return;
    answer.recordStreamVersion(softwareVersion);
    answer.sendHead(head.status, answerHeaders(head.headers, dropped));
  };
  return {
    addChunk(chunk) {
      const events = splitter.add(chunk);
      if (events.length === 0) return true;
      sendHead();
      for (const event of events) {
        progress.recordEvent(readEventId(event), softwareVersion);
      }
      return answer.sendData(events.length === 1 ? (events[0] ?? chunk) : Buffer.concat(events));
    },
    finish() {
      if (splitter.heldBytes > 0) return 'the stream ended within an event';
      if (isEmptyIfCut && progress.events === 0) return 'the stream ended before its first event';
      sendHead();
      answer.end();
      return undefined;
    },
  };
}
