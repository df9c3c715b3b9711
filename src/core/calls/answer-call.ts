import type { IncomingMessage, ServerResponse } from 'node:http';
import { errorText } from '../errors';
import type { Logger } from '../events';
import { CALL_EVENTS } from './events';
import { readBody } from './read-body';
import type { CallAnswer, CallHandler, CallHandlers, IncomingCall } from './types';

/** Largest text of a call: the view of a whole fleet is some ten kilobytes. */
const MOST_TEXT_BYTES = 4_194_304;
const TOO_LARGE = 413;
const FAILED = 500;

function write(response: ServerResponse, answered: CallAnswer): void {
  if (response.destroyed) return;
  // Nobody reads the date, and it would be a quarter of most answers.
  response.sendDate = false;
  const bytes = Buffer.from(answered.text);
  response.writeHead(answered.status, {
    'content-type': answered.contentType ?? 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}

function toCall(incoming: IncomingMessage, response: ServerResponse, text: string): IncomingCall {
  return {
    text,
    query: new URLSearchParams((incoming.url ?? '').split('?')[1]),
    // Most calls are answered at once; only those that wait need to know.
    onGone(listener) {
      if (response.destroyed) listener();
      else response.once('close', listener);
    },
  };
}

async function answerWith(
  handler: CallHandler,
  call: IncomingCall,
  writeAnswer: (answer: CallAnswer) => void,
): Promise<void> {
  writeAnswer(await handler(call));
}

/** Answers a call that `handlers` name; false where they do not name it. */
export function answerCall(
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
    if (!response.headersSent) write(response, { status: FAILED, text: '' });
  };
  readBody(incoming, MOST_TEXT_BYTES, (reading) => {
    switch (reading.kind) {
      case 'gone':
        return;
      case 'tooLarge':
        response.setHeader('connection', 'close');
        write(response, { status: TOO_LARGE, text: '' });
        return;
      case 'whole':
        answerWith(handler, toCall(incoming, response, reading.body.toString('utf8')), (answer) =>
          write(response, answer),
        ).catch(fail);
        return;
      default:
        reading satisfies never;
    }
  });
  return true;
}
