import { create } from '@bufbuild/protobuf';
import { status as grpcStatus } from '@grpc/grpc-js';
import type { ServerWritableStream } from '@grpc/grpc-js';
import { ForwardEventSchema } from '../../gen/forward_pb';
import type { ForwardEvent, ForwardRequest } from '../../gen/forward_pb';
import type { ResponseSink } from '../serving/types';

type Event = ForwardEvent['event'];

/** Passes an answer back to the instance that forwarded the request. */
export function createPeerSink(
  call: ServerWritableStream<ForwardRequest, ForwardEvent>,
): ResponseSink {
  const { requestId, attempt } = call.request;
  let headSent = false;
  let bodyBytes = 0;

  const write = (event: Event): boolean =>
    call.write(create(ForwardEventSchema, { requestId, attempt, event }));

  return {
    get headSent() {
      return headSent;
    },
    sendHead(head) {
      headSent = true;
      const headers = head.headers.map(({ name, value }) => ({
        $typeName: 'coltsfootworks.forward.v1.Header' as const,
        name,
        value,
      }));
      write({
        case: 'head',
        value: {
          $typeName: 'coltsfootworks.forward.v1.ResponseHead',
          status: head.status,
          headers,
        },
      });
    },
    async sendChunk(chunk) {
      bodyBytes += chunk.length;
      if (write({ case: 'chunk', value: chunk }) || call.cancelled) return;
      await new Promise<void>((resolve) => {
        const go = () => {
          call.off('drain', go);
          call.off('cancelled', go);
          resolve();
        };
        call.on('drain', go);
        call.on('cancelled', go);
      });
    },
    end() {
      write({
        case: 'end',
        value: {
          $typeName: 'coltsfootworks.forward.v1.ResponseEnd',
          bodyBytes: BigInt(bodyBytes),
        },
      });
      call.end();
    },
    abort(reason) {
      call.emit('error', { code: grpcStatus.ABORTED, details: reason });
    },
  };
}
