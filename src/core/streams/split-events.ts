/** Cuts a server-sent event stream into whole events, so that half an event is never passed on. */
export interface EventSplitter {
  /** The whole events that `chunk` completes, each with the blank line that ends it. */
  add(chunk: Uint8Array): readonly Buffer[];
  /** What has come of an event that is not whole. */
  rest(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** The index after the first blank line at or after `from`, or -1. */
function endOfEvent(buffer: Buffer, from: number): number {
  for (
    let at = buffer.indexOf(LINE_FEED, from);
    at !== -1;
    at = buffer.indexOf(LINE_FEED, at + 1)
  ) {
    const next = buffer[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && buffer[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

/** An empty splitter. */
export function createEventSplitter(): EventSplitter {
  let held: Buffer = Buffer.alloc(0);
  return {
    add(chunk) {
      held = held.length === 0 ? Buffer.from(chunk) : Buffer.concat([held, chunk]);
      const events: Buffer[] = [];
      let start = 0;
      for (let end = endOfEvent(held, start); end !== -1; end = endOfEvent(held, start)) {
        events.push(held.subarray(start, end));
        start = end;
      }
      held = held.subarray(start);
      return events;
    },
    rest: () => held,
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
