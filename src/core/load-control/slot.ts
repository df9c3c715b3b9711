import type { Clock } from '../clock';
import type { Placement } from '../scheduling';
import type { ResponseHead, ResponseSink } from '../serving/types';
import { LOAD_REPORT_HEADER, readLoadReport } from './read-load-report';
import type { ServiceControl, Waiter } from './service-control';
import type { Slot } from './types';

/** Lowest HTTP status that counts as an error. The latency of an error says nothing about load. */
const FIRST_ERROR_STATUS = 400;

/** Bytes per output token of a body that is not a stream, including the JSON around it. */
const BYTES_PER_TOKEN = 4;

const NEWLINE = 10;

/** Counts the blank lines in a chunk of an event stream: each ends an event, and an event carries about one token. */
function countEvents(chunk: Uint8Array): number {
  let events = 0;
  let at = chunk.indexOf(NEWLINE);
  while (at !== -1) {
    if (chunk[at + 1] === NEWLINE) events += 1;
    at = chunk.indexOf(NEWLINE, at + 2);
  }
  return events;
}

function headerOf({ headers }: ResponseHead, headerName: string): string | undefined {
  return headers.find(({ name }) => name.toLowerCase() === headerName)?.value;
}

/** Creates the slot of a placement. Disposing of the slot ends the placement and starts waiting requests. */
export function createSlot(
  placement: Placement<Waiter>,
  control: ServiceControl,
  clock: Clock,
): Slot {
  const { scheduler } = control;
  const { server, runnersUp, reason } = placement.choice;
  let status = 0;
  let isStream = false;
  let hasFirstByte = false;
  let outputTokens = 0;
  let result: 'answered' | 'withoutAnswer' = 'withoutAnswer';
  let isOpen = true;

  const recordReport = (head: ResponseHead) => {
    const header = headerOf(head, LOAD_REPORT_HEADER);
    const metrics = header === undefined ? undefined : readLoadReport(header);
    if (metrics === undefined) return;
    const nowMs = clock.monotonicMs();
    scheduler.recordReport(server.serverId, { atMs: nowMs, ...metrics }, nowMs);
  };

  const recordHead = (head: ResponseHead): ResponseHead => {
    status = head.status;
    isStream = headerOf(head, 'content-type')?.startsWith('text/event-stream') ?? false;
    recordReport(head);
    // The report is internal to the servers and this system, so callers do not get it.
    const headers = head.headers.filter(({ name }) => name.toLowerCase() !== LOAD_REPORT_HEADER);
    return { ...head, headers };
  };

  const recordChunk = (chunk: Uint8Array) => {
    if (!hasFirstByte) scheduler.recordFirstByte(placement);
    hasFirstByte = true;
    outputTokens += isStream ? countEvents(chunk) : chunk.length / BYTES_PER_TOKEN;
  };

  return {
    serverId: server.serverId,
    address: server.address,
    runnersUp,
    reason,
    waitedMs: placement.waitedMs,
    observe: (sink: ResponseSink): ResponseSink => ({
      get headSent() {
        return sink.headSent;
      },
      sendHead: (head) => sink.sendHead(recordHead(head)),
      sendChunk(chunk) {
        recordChunk(chunk);
        return sink.sendChunk(chunk);
      },
      end: () => sink.end(),
      abort: (cause) => sink.abort(cause),
    }),
    answered() {
      if (status < FIRST_ERROR_STATUS) result = 'answered';
    },
    [Symbol.dispose]() {
      if (!isOpen) return;
      isOpen = false;
      scheduler.end(placement, result, clock.monotonicMs());
      if (result === 'answered') scheduler.recordOutput(placement, outputTokens);
      control.dispatch();
    },
  };
}
