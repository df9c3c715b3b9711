import type { IncomingMessage, ServerResponse } from 'node:http';
import { errorText } from '../errors';
import type { Logger } from '../events';
import { CALL_EVENTS } from './events';
import { readBody } from './read-body';
import type { CallAnswer, CallHandler, CallHandlers, IncomingCall } from './types';

/** Maximum size of the text of a call, bytes: the membership view of a whole fleet is some ten kilobytes. */
const MAX_TEXT_BYTES = 4_194_304;
const TOO_LARGE = 413;
const FAILED = 500;

function writeAnswer(response: ServerResponse, answer: CallAnswer): void {
  if (response.destroyed) return;
  // The date header is never read, and would be a quarter of most answers.
  response.sendDate = false;
  const bytes = Buffer.from(answer.text);
  response.writeHead(answer.status, {
    'content-type': answer.contentType ?? 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}

function toIncomingCall(
  incoming: IncomingMessage,
  response: ServerResponse,
  text: string,
): IncomingCall {
  return {
    text,
    query: new URLSearchParams((incoming.url ?? '').split('?')[1]),
    // Most calls are answered at once; only handlers that wait need this.
    onDisconnected(listener) {
      if (response.destroyed) listener();
      else response.once('close', listener);
    },
  };
}

async function runHandler(
  handler: CallHandler,
  call: IncomingCall,
  onAnswer: (answer: CallAnswer) => void,
): Promise<void> {
  onAnswer(await handler(call));
}

/** Answers a call if there is a handler for its path; returns whether there is one. */
export function handleCall(
  handlers: CallHandlers,
  incoming: IncomingMessage,
  response: ServerResponse,
  logger: Logger,
): boolean {
  const [path = ''] = (incoming.url ?? '').split('?');
  const handler = handlers.get(path);
  if (handler === undefined) return false;
  const fail = (error: unknown): void => {
    logger.event(CALL_EVENTS.failed, { path, reason: errorText(error) });
    if (!response.headersSent) writeAnswer(response, { status: FAILED, text: '' });
  };
  readBody(incoming, { maxBytes: MAX_TEXT_BYTES }, (result) => {
    switch (result.kind) {
      case 'gone':
        return;
      case 'tooLarge':
      case 'noRoom':
        response.setHeader('connection', 'close');
        writeAnswer(response, { status: TOO_LARGE, text: '' });
        return;
      case 'whole':
        runHandler(
          handler,
          toIncomingCall(incoming, response, Buffer.concat(result.parts).toString('utf8')),
          (answer) => writeAnswer(response, answer),
        ).catch(fail);
        return;
      default:
        result satisfies never;
    }
  });
  return true;
}
