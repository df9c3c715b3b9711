import type { ServerSender } from '../backends';
import { RefusalError } from '../refusals';
import { STATE_HEADER } from '../server-health';
import type { ServerHealth } from '../server-health';
import type { ResponseHead, ResponseSink } from './types';

function saysDraining({ headers }: ResponseHead): boolean {
  return headers.some(
    ({ name, value }) => name.toLowerCase() === STATE_HEADER && value === 'draining',
  );
}

function watchHead(sink: ResponseSink, onHead: (head: ResponseHead) => void): ResponseSink {
  return {
    get headSent() {
      return sink.headSent;
    },
    sendHead(head) {
      onHead(head);
      sink.sendHead(head);
    },
    sendChunk: (chunk) => sink.sendChunk(chunk),
    end: () => sink.end(),
    abort: (reason) => sink.abort(reason),
  };
}

/** A sender that tells server health what requests meet, so that a failing server is noticed between checks. */
export function observeSender(sender: ServerSender, health: ServerHealth): ServerSender {
  return {
    async send(target, request, sink) {
      const { serverId } = target;
      const observed = watchHead(sink, (head) =>
        health.recordRequest(
          serverId,
          saysDraining(head)
            ? { kind: 'draining', incarnation: undefined }
            : { kind: 'healthy', incarnation: undefined },
        ),
      );
      try {
        await sender.send(target, request, observed);
      } catch (error) {
        const isServers = error instanceof RefusalError && !target.signal.aborted;
        if (isServers) health.recordRequest(serverId, { kind: 'failed', reason: error.message });
        throw error;
      }
    },
    [Symbol.asyncDispose]: () => sender[Symbol.asyncDispose](),
  };
}
