import type { Socket } from 'node:net';
import { clientSymbols } from './http-client';

/** What is used of a request of the HTTP client. */
interface ClientRequest {
  readonly aborted: boolean;
}

/** What is used of the HTTP client. */
interface GuardedClient {
  readonly [clientSymbols.kQueue]: readonly (ClientRequest | null)[];
  readonly [clientSymbols.kRunningIdx]: number;
}

/** What is used of the HTTP client's parser of a connection. */
export interface ConnectionParser {
  paused: boolean;
  onHeadersComplete(status: number, isUpgrade: boolean, isKeptAlive: boolean): number;
  onMessageComplete(): number;
}

/** A socket that the HTTP client reads. */
export type ParsedSocket = Pick<Socket, 'destroy'> & {
  [clientSymbols.kParser]?: ConnectionParser | null;
};

/** Lowest status of HTTP. */
const MIN_STATUS = 100;
/** Status of an answer that changes the protocol, which no request asks for. */
const SWITCHING_PROTOCOLS = 101;
/** Tells the parser to end with an error. */
const STOP = -1;

function isAnswerStatus(status: number): boolean {
  return status >= MIN_STATUS && status !== SWITCHING_PROTOCOLS;
}

/** An answer whose status is none. The name is that of the HTTP client's errors for malformed answers. */
function statusError(status: number): Error {
  const error = new Error(`The answer has no valid status: ${status}.`);
  error.name = 'HTTPParserError';
  return error;
}

/**
 * Has the parser of a connection turn down what the HTTP client holds for impossible and asserts: an answer with a status below
 * 100 or with 101, and the end of an answer whose exchange has just been aborted. A server decides both.
 */
export function guardParser(socket: ParsedSocket, client: object): void {
  const parser = socket[clientSymbols.kParser];
  if (parser === undefined || parser === null) return;
  const guarded = client as GuardedClient;
  const runningRequest = () => guarded[clientSymbols.kQueue][guarded[clientSymbols.kRunningIdx]];
  const onHeadersComplete = parser.onHeadersComplete.bind(parser);
  const onMessageComplete = parser.onMessageComplete.bind(parser);
  parser.onHeadersComplete = (status, isUpgrade, isKeptAlive) => {
    if (isAnswerStatus(status)) return onHeadersComplete(status, isUpgrade, isKeptAlive);
    socket.destroy(statusError(status));
    return STOP;
  };
  parser.onMessageComplete = () =>
    runningRequest()?.aborted === true ? STOP : onMessageComplete();
}
