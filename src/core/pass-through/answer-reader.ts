import { isCloseDelimited } from '../exchanges';
import type { AnswerHead } from '../exchanges';
import { createHeldBytes } from '../held-bytes';
import type { EndlessBytes } from '../outcomes';
import { createEventSplitter } from '../streams';
import {
  MAX_COMMENT_BYTES,
  MAX_EVENT_BYTES,
  MAX_STATED_FAILURE_BYTES,
  MAX_UNSTATED_FAILURE_BYTES,
} from './answer-limits';
import { headerText } from './classify-answer';
import type { StreamPosition } from './stream-progress';
import type { ClientAnswer } from './types';
import { answerHeaders } from './headers';

/** Receives the body of one answer and passes on the parts that may be passed on. */
export interface AnswerReader {
  /** Bytes that are held until more has arrived, if they may be many. */
  heldBytes(): number;
  /** Adds a chunk of the body. */
  addChunk(chunk: Buffer): ReadStep;
  /** Whether the answer is too large to be kept while another one is asked for. */
  isLarge(): boolean;
  /** Ends the answer after its last chunk; returns a problem with it, undefined if it is complete. */
  finish(): string | undefined;
}

/** What a chunk of a body has brought. */
export type ReadStep =
  | {
      readonly kind: 'taken';
      /** Whether the chunk has something that the caller can use. */
      readonly hasProgressed: boolean;
      /** Whether the caller reads slowly. */
      readonly isCallerSlow: boolean;
    }
  /** The caller has other events than this answer has in their place. */
  | { readonly kind: 'different' }
  /** Nothing that arrives any more can belong to an answer that is passed on. */
  | { readonly kind: 'endless'; readonly found: EndlessBytes };

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
  const isLarge = () => bytes > MAX_BUFFERED_BYTES;
  const flush = (): boolean => {
    if (!answer.headSent) answer.sendHead(head.status, answerHeaders(head.headers, dropped));
    let mayContinue = true;
    for (const chunk of chunks.splice(0)) mayContinue = answer.sendData(chunk) && mayContinue;
    return mayContinue;
  };
  return {
    heldBytes: () => 0,
    isLarge,
    addChunk(chunk) {
      bytes += chunk.length;
      chunks.push(Buffer.from(chunk));
      const isCallerSlow = isLarge() && !flush();
      return { kind: 'taken', hasProgressed: true, isCallerSlow };
    },
    finish() {
      flush();
      answer.end();
      return undefined;
    },
  };
}

/** Returns whether a failure states how long it is, so that its end is known from its head. */
export function statesFailureLength({ headers }: AnswerHead): boolean {
  const text = headerText(headers['content-length']);
  return text !== undefined && Number(text) <= MAX_STATED_FAILURE_BYTES;
}

/**
 * Creates a reader of a failure that does not state its length. It is held until it is whole: if a part of one without
 * end were passed on, its caller would get neither an answer nor a refusal.
 */
export function createHeldFailureReader(
  head: AnswerHead,
  answer: ClientAnswer,
  dropped: ReadonlySet<string>,
): AnswerReader {
  const held = createHeldBytes();
  return {
    heldBytes: () => held.length,
    isLarge: () => held.length > MAX_BUFFERED_BYTES,
    addChunk(chunk) {
      held.add(chunk);
      if (held.length > MAX_UNSTATED_FAILURE_BYTES) {
        return { kind: 'endless', found: { shape: 'failureBody', bytes: held.length } };
      }
      return { kind: 'taken', hasProgressed: false, isCallerSlow: false };
    },
    finish() {
      answer.sendHead(head.status, answerHeaders(head.headers, dropped));
      if (held.length > 0) answer.sendData(held.take());
      answer.end();
      return undefined;
    },
  };
}

/** Answers that a reader of a stream writes to; both lead to the same caller. */
export interface StreamAnswers {
  /** Gets events that the caller can use, which decides between the attempts in progress. */
  readonly answer: ClientAnswer;
  /** Gets events that the caller can't use. */
  readonly quietAnswer: ClientAnswer;
}

const USABLE_FIELD = /^(?:data|id)(?:[:\r\n]|$)/m;

/** Returns whether an event has data or an id; a comment has neither. */
function isUsable(event: Buffer): boolean {
  return USABLE_FIELD.test(event.toString('latin1'));
}

function joined(events: readonly Buffer[]): Buffer {
  const [first, ...others] = events;
  return first !== undefined && others.length === 0 ? first : Buffer.concat(events);
}

/**
 * Creates a reader that passes on complete events as they arrive, and never a part of an event; those that another attempt has
 * passed on meanwhile are left out. `softwareVersion` is that of the server that writes them, if it is known.
 */
export function createStreamReader(
  head: AnswerHead,
  softwareVersion: string | undefined,
  { answer, quietAnswer }: StreamAnswers,
  position: StreamPosition,
  dropped: ReadonlySet<string>,
): AnswerReader {
  const splitter = createEventSplitter();
  const { progress } = position;
  // A server that goes on with the stream may write more or less than this one would have written.
  const droppedOfHead = new Set([...dropped, 'content-length']);
  // A stream that is resumed may have nothing left. One that begins has an event, unless its server crashed before it.
  const isEmptyIfCut = isCloseDelimited(head.headers) && progress.lastEventId === undefined;
  /** Bytes of comments since the last event that the caller can use. */
  let commentBytes = 0;

  const sendHead = (to: ClientAnswer): void => {
    // A stream that is resumed at another server keeps the head of the first answer.
    if (to.headSent) return;
    to.recordStreamVersion(softwareVersion);
    to.sendHead(head.status, answerHeaders(head.headers, droppedOfHead));
  };

  /** Records events; returns those to pass on, or undefined if the caller has others in their place. */
  const takeNew = (events: readonly Buffer[]): readonly Buffer[] | undefined => {
    const added: Buffer[] = [];
    for (const event of events) {
      if (!isUsable(event)) {
        progress.recordComment();
        commentBytes += event.length;
        added.push(event);
        continue;
      }
      commentBytes = 0;
      const taken = position.take(event, softwareVersion);
      if (taken === 'different') return undefined;
      if (taken === 'new') added.push(event);
    }
    return added;
  };

  /** Returns what of the stream has no end, if it is known to have none. */
  const findEndless = (): EndlessBytes | undefined => {
    const { heldBytes } = splitter;
    if (heldBytes > MAX_EVENT_BYTES) return { shape: 'partialEvent', bytes: heldBytes };
    if (commentBytes > MAX_COMMENT_BYTES) return { shape: 'comments', bytes: commentBytes };
    return undefined;
  };

  return {
    heldBytes: () => splitter.heldBytes,
    isLarge: () => false,
    addChunk(chunk) {
      const events = splitter.add(chunk);
      const hasProgressed = events.some(isUsable);
      let isCallerSlow = false;
      if (events.length > 0) {
        sendHead(hasProgressed ? answer : quietAnswer);
        const added = takeNew(events);
        if (added === undefined) return { kind: 'different' };
        const to = added.some(isUsable) ? answer : quietAnswer;
        isCallerSlow = added.length > 0 && !to.sendData(joined(added));
      }
      const found = findEndless();
      return found === undefined
        ? { kind: 'taken', hasProgressed, isCallerSlow }
        : { kind: 'endless', found };
    },
    finish() {
      if (splitter.heldBytes > 0) return 'the stream ended within an event';
      if (isEmptyIfCut && progress.events === 0) return 'the stream ended before its first event';
      if (!position.isAtEnd()) return 'the stream ended before events that were passed on';
      sendHead(answer);
      answer.end();
      return undefined;
    },
  };
}
