import type { IncomingMessage, ServerResponse } from 'node:http';
import { readBody, statedBodyBytes } from '../calls';
import type { BodyResult } from '../calls';
import { createRequestBody } from '../held-bytes';
import type { BodyRoom, RequestBody } from '../held-bytes';

/** A request whose body is to be received. */
export interface BodySource {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  /** Client account that sends it; undefined if it has none. */
  readonly account: string | undefined;
  readonly maxBytes: number;
}

/** What became of a body. */
export type ReceivedBody =
  { readonly kind: 'whole'; readonly body: RequestBody } | Exclude<BodyResult, { kind: 'whole' }>;

/**
 * Receives the complete body of a request, if there is room for it. The room is given back when the body is let go, and at the
 * latest with the end of the answer.
 */
export function receiveBody(
  bodies: Pick<BodyRoom, 'reserve'>,
  { incoming, response, account, maxBytes }: BodySource,
  onReceived: (received: ReceivedBody) => void,
): void {
  const statedBytes = statedBodyBytes(incoming);
  if (statedBytes === 0) {
    onReceived({ kind: 'whole', body: createRequestBody([]) });
    return;
  }
  if (statedBytes !== undefined && statedBytes > maxBytes) {
    onReceived({ kind: 'tooLarge' });
    return;
  }
  const reservation = bodies.reserve(statedBytes ?? 0, account);
  if (reservation.kind === 'denied') {
    onReceived({ kind: 'noRoom', retryAfterMs: reservation.retryAfterMs });
    return;
  }
  const { place } = reservation;
  const giveBack = (): void => place[Symbol.dispose]();
  response.on('close', giveBack);
  readBody(incoming, { maxBytes, takeRoom: place.grow }, (result) => {
    if (result.kind === 'whole') {
      onReceived({ kind: 'whole', body: createRequestBody(result.parts, giveBack) });
      return;
    }
    giveBack();
    onReceived(result);
  });
}
