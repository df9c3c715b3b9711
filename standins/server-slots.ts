import { wholeAnswer, withHeaders } from './announced-server';
import type { ReceivedRequest } from './announced-server';

/** Slots of a stand-in backend server, and the requests that wait for one. */
export interface ServerSlots {
  /** Runs a request as soon as a slot is free; returns false if too many wait already, and it is not run. */
  admit(run: () => void): boolean;
  /** Called when a run has ended. */
  release(): void;
  /** Adds the present load to the head of an answer. */
  withLoad(head: string): string;
  /** Returns the answer to a request that is rejected. */
  rejectionOf(request: ReceivedRequest): string;
}

/** Options of `createServerSlots`. */
export interface ServerSlotsOptions {
  readonly slots: number;
  /** Requests that wait for a slot at most. */
  readonly maxWaiting: number;
}

/** Creates slots that are all free. */
export function createServerSlots({ slots, maxWaiting }: ServerSlotsOptions): ServerSlots {
  const waiting: (() => void)[] = [];
  let open = 0;
  const start = (run: () => void): void => {
    open += 1;
    run();
  };
  const withLoad = (head: string): string =>
    withHeaders(head, [`X-Server-Load: ${open},${waiting.length},${slots}`]);
  return {
    admit(run) {
      if (waiting.length >= maxWaiting) return false;
      if (open < slots) start(run);
      else waiting.push(run);
      return true;
    },
    release() {
      open -= 1;
      const next = waiting.shift();
      if (next !== undefined) start(next);
    },
    withLoad,
    rejectionOf: (request) =>
      withHeaders(withLoad(wholeAnswer(request, '', { status: 503 })), ['X-Not-Executed: 1']),
  };
}
