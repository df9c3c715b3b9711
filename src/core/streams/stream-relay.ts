import { REFUSALS, RefusalError } from '../refusals';
import type { ResponseHead, ResponseSink } from '../serving/types';
import { createChatProgress } from './chat-progress';
import type { ChatProgress } from './chat-progress';
import { LAST_EVENT_DATA, createEventSplitter, dataOf } from './split-events';

/** Passes one answer on to its caller, out of as many legs as it takes. */
export interface StreamRelay {
  /** The sink of the next leg; whatever an earlier one still delivers is dropped. */
  startLeg(): ResponseSink;
  readonly progress: ChatProgress;
  /** Ends an answer of which only the last event is missing: its engine has told why it finished. */
  finish(): Promise<void>;
  /** Whether the caller has the head of an event stream that has not come to its end. */
  readonly isCutShort: boolean;
}

/** Bytes of an event that is not whole; no engine sends tokens of this size. */
const MAX_PARTIAL_BYTES = 1_048_576;

function isEventStream({ status, headers }: ResponseHead): boolean {
  const type = headers.find(({ name }) => name.toLowerCase() === 'content-type')?.value ?? '';
  return status === 200 && type.startsWith('text/event-stream');
}

/** Returns a head without the length of the body: an engine that goes on may write more or less than the first would have. */
function withoutLength(head: ResponseHead): ResponseHead {
  const headers = head.headers.filter(({ name }) => name.toLowerCase() !== 'content-length');
  return { ...head, headers };
}

function broken(detail: string): RefusalError {
  return new RefusalError(REFUSALS.serverFailed, {
    detail,
    step: 'relay-stream',
    evidence: { kind: 'lostAfterSending', cause: 'malformed' },
  });
}

/**
 * A relay to `sink`. Only whole events are passed on, and the stream ends in order only after its last event:
 * an engine that fails in the midst of an answer often closes its stream in order, and a caller can't tell.
 * `followsText` also keeps the text, which costs reading each event.
 */
export function createStreamRelay(sink: ResponseSink, followsText: boolean): StreamRelay {
  const progress = createChatProgress();
  let streaming = false;
  let ended = false;
  let currentLeg = 0;

  const toPassOn = (event: Buffer, isContinuation: boolean): Buffer | undefined => {
    const data = dataOf(event);
    if (data === '' || data === LAST_EVENT_DATA) {
      return isContinuation && data === '' ? undefined : event;
    }
    const passed = progress.take(data, isContinuation);
    if (passed === undefined) return undefined;
    return passed === data ? event : Buffer.from(`data: ${passed}\n\n`);
  };

  const createLeg = (leg: number): ResponseSink => {
    const splitter = createEventSplitter();
    const isContinuation = leg > 1 && streaming;
    let headSent = false;
    let relays = true;
    let sawLastEvent = false;
    const isOver = () => leg !== currentLeg;

    const passEvents = async (chunk: Uint8Array): Promise<void> => {
      const events = splitter.add(chunk);
      if (splitter.heldBytes > MAX_PARTIAL_BYTES) throw broken('An event has no end.');
      const passed: Buffer[] = [];
      for (const event of events) {
        sawLastEvent ||= event.includes(LAST_EVENT_DATA) && dataOf(event) === LAST_EVENT_DATA;
        const next = followsText ? toPassOn(event, isContinuation) : event;
        if (next !== undefined) passed.push(next);
      }
      if (passed.length > 0) await sink.sendChunk(Buffer.concat(passed));
    };

    return {
      get headSent() {
        return headSent;
      },
      sendHead(head) {
        if (isOver()) return;
        if (isContinuation) {
          if (!isEventStream(head)) throw broken(`The continuation was refused (${head.status}).`);
          headSent = true;
          return;
        }
        headSent = true;
        relays = isEventStream(head);
        streaming = relays;
        sink.sendHead(relays ? withoutLength(head) : head);
      },
      async sendChunk(chunk) {
        if (isOver()) return;
        if (relays) await passEvents(chunk);
        else await sink.sendChunk(chunk);
      },
      end() {
        if (isOver()) return;
        if (relays && !sawLastEvent) throw broken('The stream ended without its last event.');
        ended = true;
        sink.end();
      },
      abort: (reason) => {
        if (!isOver()) sink.abort(reason);
      },
    };
  };

  return {
    progress,
    startLeg() {
      currentLeg += 1;
      return createLeg(currentLeg);
    },
    async finish() {
      currentLeg += 1;
      ended = true;
      await sink.sendChunk(Buffer.from(`data: ${LAST_EVENT_DATA}\n\n`));
      sink.end();
    },
    get isCutShort() {
      return streaming && !ended;
    },
  };
}
