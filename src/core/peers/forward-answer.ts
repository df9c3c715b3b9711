import type { ForwardEvent, ForwardRefusal } from '../../gen/forward_pb';
import { createLengthCheck } from '../answers';
import type { LengthCheck } from '../answers';
import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError, refusalBySlug } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';

/** Reads the answer to one forwarded attempt. */
export interface ForwardAnswer {
  /** Passes one event on; true once the answer is whole. Throws a `RefusalError` for what was not asked for. */
  take(event: ForwardEvent): Promise<boolean>;
}

/** A refusal of the hop between two instances. */
export function lostForward(
  peer: string,
  detail: string,
  evidence: Evidence,
  cause?: unknown,
): RefusalError {
  return new RefusalError(REFUSALS.peerFailed, { detail, step: 'forward', peer, evidence, cause });
}

function peerRefusal(refusal: ForwardRefusal, peer: string): RefusalError {
  const definition = refusalBySlug(refusal.refusal) ?? REFUSALS.peerFailed;
  const retryAtUnixMs = Number(refusal.retryAtUnixMs);
  return new RefusalError(definition, {
    detail: refusal.detail,
    step: 'forward',
    peer,
    evidence: refusal.ran
      ? { kind: 'ranBefore' }
      : { kind: 'refusedByPeer', vouches: refusal.notRun },
    ...(retryAtUnixMs === 0 ? {} : { retryAtUnixMs }),
  });
}

/** Passes events on to `sink`, in the one order that makes a whole answer. */
export function createForwardAnswer(
  request: GatewayRequest,
  sink: ResponseSink,
  peer: string,
): ForwardAnswer {
  let length: LengthCheck | undefined;

  const malformed = (detail: string) =>
    lostForward(peer, detail, { kind: 'lostAfterSending', cause: 'malformed' });

  const headSeen = (): LengthCheck => {
    if (length === undefined) throw malformed('The answer has no head.');
    return length;
  };

  return {
    async take({ event, requestId, attempt }) {
      if (requestId !== request.requestId || attempt !== request.attempt) {
        throw malformed('The answer belongs to another request.');
      }
      switch (event.case) {
        case 'head': {
          if (length !== undefined) throw malformed('The answer has two heads.');
          const { status, headers } = event.value;
          length = createLengthCheck(request.method, status, headers);
          sink.sendHead({ status, headers });
          return false;
        }
        case 'chunk': {
          const problem = headSeen().addChunk(event.value.length);
          if (problem !== undefined) throw malformed(problem);
          await sink.sendChunk(event.value);
          return false;
        }
        case 'end': {
          const { bodyBytes } = headSeen();
          if (Number(event.value.bodyBytes) !== bodyBytes) {
            throw malformed(`${bodyBytes} of ${event.value.bodyBytes} bytes came.`);
          }
          const problem = headSeen().atEnd();
          if (problem !== undefined) throw malformed(problem);
          sink.end();
          return true;
        }
        case 'refusal':
          throw peerRefusal(event.value, peer);
        case undefined:
          throw malformed('Empty event.');
        default:
          return event satisfies never;
      }
    },
  };
}
