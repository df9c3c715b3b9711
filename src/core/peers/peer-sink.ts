import { create } from '@bufbuild/protobuf';
import { status as grpcStatus } from '@grpc/grpc-js';
import type { ServerWritableStream } from '@grpc/grpc-js';
import { ForwardEventSchema, ForwardRefusalSchema } from '../../gen/forward_pb';
import type { ForwardEvent, ForwardRequest } from '../../gen/forward_pb';
import { errorText } from '../errors';
import { REFUSALS, RefusalError } from '../refusals';
import type { ResponseSink } from '../serving/types';

/** Passes an answer back to the instance that forwarded the request. */

/** Where the events of one answer go. */
export interface EventWriter {
  /** Resolves once more may be written, so that a slow reader holds the sender back across the hop. */
  write(event: ForwardEvent): Promise<void>;
  end(): void;
  abort(reason: string): void;
}

/** A sink that writes events which name the request and attempt they belong to. */
export function createForwardEventSink(
  { requestId, attempt }: ForwardRequest,
  writer: EventWriter,
): ResponseSink {
  let headSent = false;
  let bodyBytes = 0;
  const write = (event: ForwardEvent['event']): Promise<void> =>
    writer.write(create(ForwardEventSchema, { requestId, attempt, event }));

  return {
    get headSent() {
      return headSent;
    },
    sendHead({ status, headers }) {
      headSent = true;
      const value = {
        $typeName: 'coltsfootworks.forward.v1.ResponseHead' as const,
        status,
        headers: headers.map((header) => ({
          $typeName: 'coltsfootworks.forward.v1.Header' as const,
          ...header,
        })),
      };
      void write({ case: 'head', value });
    },
    async sendChunk(chunk) {
      bodyBytes += chunk.length;
      await write({ case: 'chunk', value: chunk });
    },
    end() {
      const value = {
        $typeName: 'coltsfootworks.forward.v1.ResponseEnd' as const,
        bodyBytes: BigInt(bodyBytes),
      };
      void write({ case: 'end', value });
      writer.end();
    },
    abort: (reason) => writer.abort(reason),
  };
}

/** The event that tells the sender why there is no answer, and whether anything ran. */
export function toRefusalEvent(message: ForwardRequest, error: unknown): ForwardEvent {
  const refusal =
    error instanceof RefusalError
      ? error
      : new RefusalError(REFUSALS.internalFault, {
          detail: errorText(error),
          step: 'serve-forwarded',
          evidence: { kind: 'lostAfterSending', cause: 'aborted' },
        });
  const value = create(ForwardRefusalSchema, {
    refusal: refusal.definition.slug,
    detail: refusal.message,
    notRun: refusal.outcome === 'notRun',
    ran: refusal.outcome === 'ran',
    retryAtUnixMs: BigInt(Math.floor(refusal.retryAtUnixMs ?? 0)),
  });
  const { requestId, attempt } = message;
  return create(ForwardEventSchema, { requestId, attempt, event: { case: 'refusal', value } });
}

/** A sink over a gRPC stream. */
export function createPeerSink(
  call: ServerWritableStream<ForwardRequest, ForwardEvent>,
): ResponseSink {
  const waitForDrain = (): Promise<void> =>
    new Promise((resolve) => {
      const go = () => {
        call.off('drain', go);
        call.off('cancelled', go);
        resolve();
      };
      call.on('drain', go);
      call.on('cancelled', go);
    });

  return createForwardEventSink(call.request, {
    async write(event) {
      if (!call.write(event) && !call.cancelled) await waitForDrain();
    },
    end: () => {
      call.end();
    },
    abort: (reason) => {
      call.emit('error', { code: grpcStatus.ABORTED, details: reason });
    },
  });
}
