import type { CallHandler, CallClient } from '../calls';
import type { Clock } from '../clock';
import { ERRORS, errorText, gatewayError } from '../errors';
import { readExchange, writeExchange } from '../membership';
import type { ExchangeMessage, MembershipTransport } from '../membership';

/** Path of membership exchanges on the listener for membership. */
export const EXCHANGE_PATH = '/exchange';

/** Timeout of an exchange, ms; allows several round trips between the most distant regions. */
const EXCHANGE_TIMEOUT_MS = 1_000;
const OK = 200;
const BAD_REQUEST = 400;

/** Creates a membership transport that sends each exchange as an HTTP call. */
export function createExchangeTransport(
  clock: Clock,
  callClient: CallClient,
  stopping: AbortSignal,
): MembershipTransport {
  return {
    async exchange(peerAddress, message) {
      const answerByMs = clock.monotonicMs() + EXCHANGE_TIMEOUT_MS;
      const call = {
        method: 'POST',
        path: EXCHANGE_PATH,
        text: writeExchange(message),
        answerByMs,
      } as const;
      try {
        const { status, text } = await callClient.call(peerAddress, call, stopping);
        if (status !== OK) throw new Error(`status ${status}`);
        return readExchange(text);
      } catch (error) {
        const place = { step: 'exchange', peer: peerAddress };
        throw gatewayError(ERRORS.peerUnavailable, [errorText(error)], place, error);
      }
    },
  };
}

/** Creates the handler of exchanges from other instances; `receive` returns the reply. */
export function createExchangeHandler(
  receive: (message: ExchangeMessage) => ExchangeMessage,
): CallHandler {
  return ({ text }) => {
    let message: ExchangeMessage;
    try {
      message = readExchange(text);
    } catch (error) {
      return { status: BAD_REQUEST, text: JSON.stringify({ reason: errorText(error) }) };
    }
    return { status: OK, text: writeExchange(receive(message)) };
  };
}
