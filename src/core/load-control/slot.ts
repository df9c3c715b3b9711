import type { Clock } from '../clock';
import type { Placement } from '../scheduling';
import type { ResponseHead, ResponseSink } from '../serving/types';
import { LOAD_REPORT_HEADER, readLoadReport } from './read-load-report';
import type { ServiceControl, Waiter } from './service-control';
import type { Slot } from './types';

/** Statuses from here on are no answers; how fast they come says nothing about load. */
const FIRST_ERROR_STATUS = 400;

/** Bytes of a body sent whole that make one token, with the JSON around it. */
const BYTES_PER_TOKEN = 4;

const NEWLINE = 10;

/** Blank lines in a chunk of an event stream: each ends an event, and an event carries about one token. */
function countEvents(chunk: Uint8Array): number {
  let events = 0;
  let at = chunk.indexOf(NEWLINE);
  while (at !== -1) {
    if (chunk[at + 1] === NEWLINE) events += 1;
    at = chunk.indexOf(NEWLINE, at + 2);
  }
  return events;
}

function headerOf({ headers }: ResponseHead, wanted: string): string | undefined {
  return headers.find(({ name }) => name.toLowerCase() === wanted)?.value;
}

/** The slot of a placement; its end makes room for what waits. */
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

  const noteReport = (head: ResponseHead) => {
    const header = headerOf(head, LOAD_REPORT_HEADER);
    const metrics = header === undefined ? undefined : readLoadReport(header);
    if (metrics === undefined) return;
    const nowMs = clock.monotonicMs();
    scheduler.noteReport(server.serverId, { atMs: nowMs, ...metrics }, nowMs);
  };

  const noteHead = (head: ResponseHead): ResponseHead => {
    status = head.status;
    isStream = headerOf(head, 'content-type')?.startsWith('text/event-stream') ?? false;
    noteReport(head);
    // The report is between the servers and this system.
    const headers = head.headers.filter(({ name }) => name.toLowerCase() !== LOAD_REPORT_HEADER);
    return { ...head, headers };
  };

  const noteChunk = (chunk: Uint8Array) => {
    if (!hasFirstByte) scheduler.firstByte(placement);
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
      sendHead: (head) => sink.sendHead(noteHead(head)),
      sendChunk(chunk) {
        noteChunk(chunk);
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
      if (result === 'answered') scheduler.noteOutput(placement, outputTokens);
      control.pump();
    },
  };
}
