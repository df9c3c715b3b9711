import type { ResponseHead, ResponseSink } from '../serving/types';
import type { HeldAnswer } from './types';

/** Gathers an answer for the record of its ticket. */
export interface RecordingSink extends ResponseSink {
  /** The whole answer; undefined when it was too large to hold or did not end. */
  whole(): HeldAnswer | undefined;
  /** Whether the answer ended in order. */
  readonly ended: boolean;
  /** Whether parts of it were passed straight on. */
  readonly passedOn: boolean;
}

/**
 * Holds an answer of up to `heldBytes` until it is whole, so that every presentation of the ticket gets the
 * same answer, and none gets half of one. A larger answer is passed on to `live` as it comes and not held.
 */
export function createRecordingSink(live: ResponseSink, heldBytes: number): RecordingSink {
  let head: ResponseHead | undefined;
  let chunks: Uint8Array[] = [];
  let bodyBytes = 0;
  let ended = false;
  let passedOn = false;

  const passOnHeld = async (): Promise<void> => {
    passedOn = true;
    if (head !== undefined) live.sendHead(head);
    for (const chunk of chunks) await live.sendChunk(chunk);
    chunks = [];
  };

  return {
    get headSent() {
      return head !== undefined;
    },
    get ended() {
      return ended;
    },
    get passedOn() {
      return passedOn;
    },
    sendHead(next) {
      head = next;
    },
    async sendChunk(chunk) {
      bodyBytes += chunk.length;
      if (passedOn) {
        await live.sendChunk(chunk);
        return;
      }
      chunks.push(chunk);
      if (bodyBytes > heldBytes) await passOnHeld();
    },
    end() {
      ended = true;
      if (passedOn) live.end();
    },
    abort(reason) {
      if (passedOn) live.abort(reason);
    },
    whole() {
      if (!ended || passedOn || head === undefined) return undefined;
      return { head, chunks, bodyBytes };
    },
  };
}

/** Sends a held answer. */
export async function replayAnswer(answer: HeldAnswer, sink: ResponseSink): Promise<void> {
  sink.sendHead(answer.head);
  for (const chunk of answer.chunks) await sink.sendChunk(chunk);
  sink.end();
}
