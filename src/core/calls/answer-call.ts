import type { IncomingMessage, ServerResponse } from 'node:http';
import { errorText } from '../errors';
import type { Logger } from '../events';
import { CALL_EVENTS } from './events';
import type { CallAnswer, CallHandler, CallHandlers } from './types';

/** Largest text of a call: the view of a whole fleet is some ten kilobytes. */
const MOST_TEXT_BYTES = 4_194_304;
const TOO_LARGE = 413;
const FAILED = 500;

interface ReadText {
  readonly text: string;
  readonly isTooLarge: boolean;
}

async function readText(incoming: IncomingMessage): Promise<ReadText> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    bytes += (chunk as Buffer).length;
    if (bytes > MOST_TEXT_BYTES) return { text: '', isTooLarge: true };
    chunks.push(chunk as Buffer);
  }
  return { text: Buffer.concat(chunks).toString('utf8'), isTooLarge: false };
}

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

async function answer(
  handler: CallHandler,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const gone = new AbortController();
  response.on('close', () => gone.abort());
  const { text, isTooLarge } = await readText(incoming);
  if (isTooLarge) {
    response.setHeader('connection', 'close');
    write(response, { status: TOO_LARGE, text: '' });
    return;
  }
  const query = new URL(incoming.url ?? '/', 'http://instance').searchParams;
  write(response, await handler({ query, text, gone: gone.signal }));
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
  answer(handler, incoming, response).catch((error: unknown) => {
    logger.event(CALL_EVENTS.failed, { path, reason: errorText(error) });
    if (!response.headersSent) write(response, { status: FAILED, text: '' });
  });
  return true;
}
