import type { Clock } from '../clock';
import type { ConnectionPool, SendOptions } from './connection-pool';
import type { Exchange, OutgoingRequest } from './types';

/** Maximum wait for the rest of an answer of which only the head is used, ms; it is usually sent with the head. */
export const REST_WAIT_MS = 50;

/** Sends a request whose answer is of no use; drops the request if no connection is free. */
export function sendIgnoringAnswer(
  pool: Pick<ConnectionPool, 'send'>,
  clock: Pick<Clock, 'monotonicMs' | 'schedule'>,
  address: string,
  options: SendOptions,
  request: OutgoingRequest,
): void {
  const exchange: Exchange | undefined = pool.send(address, options, request, {
    onHead: () => exchange?.discardRest(clock, clock.monotonicMs() + REST_WAIT_MS),
    onData() {},
    onEnd() {},
  });
}
