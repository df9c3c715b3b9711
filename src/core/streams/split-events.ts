import { createHeldBytes } from '../held-bytes';

/** Cuts a server-sent event stream into whole events, so that half an event is never passed on. */
export interface EventSplitter {
  /** Number of bytes of an event that is not whole. */
  readonly heldBytes: number;
  /** The whole events that `chunk` completes, each with the blank line that ends it. */
  add(chunk: Uint8Array): readonly Buffer[];
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** What the bytes read so far end with, as far as a blank line may begin there. */
type Tail = 'text' | 'lineEnd' | 'lineEndAndReturn';

/** Finds the ends of events in chunks, each byte of which is read once. */
function createEndFinder() {
  let tail: Tail = 'text';

  /** Returns the tail after one more byte; undefined if that byte ends a blank line. */
  const tailAfter = (byte: number | undefined): Tail | undefined => {
    if (byte === LINE_FEED) return tail === 'text' ? 'lineEnd' : undefined;
    return byte === CARRIAGE_RETURN && tail === 'lineEnd' ? 'lineEndAndReturn' : 'text';
  };

  /** Returns the index after the first blank line that ends at or after `from`, or -1. */
  return (chunk: Buffer, from: number): number => {
    for (let at = from; at < chunk.length; at += 1) {
      if (tail === 'text') {
        at = chunk.indexOf(LINE_FEED, at);
        if (at === -1) return -1;
      }
      const next = tailAfter(chunk[at]);
      tail = next ?? 'text';
      if (next === undefined) return at + 1;
    }
    return -1;
  };
}

/** An empty splitter. */
export function createEventSplitter(): EventSplitter {
  const held = createHeldBytes();
  const endOfEvent = createEndFinder();
  const takeWith = (part: Buffer): Buffer => {
    held.add(part);
    return held.take();
  };
  return {
    get heldBytes() {
      return held.length;
    },
    add(chunk) {
      // One copy for all events of the chunk, whose bytes are only valid during the call.
      const bytes = Buffer.from(chunk);
      const events: Buffer[] = [];
      let start = 0;
      for (let end = endOfEvent(bytes, start); end !== -1; end = endOfEvent(bytes, start)) {
        const part = bytes.subarray(start, end);
        events.push(held.length === 0 ? part : takeWith(part));
        start = end;
      }
      if (start < bytes.length) held.add(bytes.subarray(start));
      return events;
    },
  };
}

const DATA_LINE = /^data: ?(.*)$/gm;

/** The data of one event; empty for a comment or keepalive. */
export function dataOf(event: Buffer): string {
  const lines = [...event.toString('utf8').matchAll(DATA_LINE)].map(([, data]) => data ?? '');
  return lines.join('\n').trimEnd();
}

/** The data that ends a stream of the OpenAI API. */
export const LAST_EVENT_DATA = '[DONE]';
