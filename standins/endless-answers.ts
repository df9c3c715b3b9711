import type { Socket } from 'node:net';
import { chunkOf, streamHead, withHeaders } from './announced-server';
import type { ReceivedRequest } from './announced-server';

/** How fast bytes are written: as fast as they are read, or 8 KiB each 50 ms. */
export type Pace = 'quick' | 'slow';

/** What a server in trouble sends in place of an answer, until its caller closes the connection. */
export type EndlessShape =
  | {
      readonly kind:
        | 'garbage'
        | 'headLine'
        | 'headerFields'
        | 'trailers'
        | 'afterAnswer'
        | 'interimAnswers'
        | 'emptyLines'
        | 'failure'
        | 'notExecuted'
        | 'comments';
    }
  | { readonly kind: 'chunkExtension' | 'event'; readonly pace: Pace };

export const ENDLESS_SHAPES: Readonly<Record<string, EndlessShape>> = {
  'garbage in place of a head': { kind: 'garbage' },
  'a head line': { kind: 'headLine' },
  'header fields': { kind: 'headerFields' },
  trailers: { kind: 'trailers' },
  'bytes after a whole answer': { kind: 'afterAnswer' },
  'interim answers': { kind: 'interimAnswers' },
  'empty lines': { kind: 'emptyLines' },
  'a chunk extension': { kind: 'chunkExtension', pace: 'quick' },
  'a slow chunk extension': { kind: 'chunkExtension', pace: 'slow' },
  'the body of a failure': { kind: 'failure' },
  'the body of a rejection': { kind: 'notExecuted' },
  'an event': { kind: 'event', pace: 'quick' },
  'a slow event': { kind: 'event', pace: 'slow' },
  comments: { kind: 'comments' },
};

/** A first part, and what follows it again and again. */
interface EndlessText {
  readonly begin: string;
  readonly repeated: string;
}

const LINE = 'x'.repeat(1_000);

/** What is asked for. */
export interface EndlessRequest {
  readonly request: ReceivedRequest;
  readonly isStream: boolean;
  /** Body of a whole answer, for the shapes that begin with one. */
  readonly soundBody: string;
}

/** Whether an answer can have a shape: any bytes may be the body of one that is no stream. */
export function canHaveShape(
  { kind }: EndlessShape,
  { request, isStream }: Omit<EndlessRequest, 'soundBody'>,
): boolean {
  return (kind !== 'event' && kind !== 'comments') || isStream || request.path === '/health';
}

/** Returns the head of a chunked answer of a server that is sound so far. */
function chunkedHead({ request, isStream }: EndlessRequest, status = '200 OK'): string {
  const head = streamHead(request).replace('200 OK', status);
  return isStream ? head : head.replace('text/event-stream', 'text/plain');
}

function textOf({ kind }: EndlessShape, endless: EndlessRequest): EndlessText {
  const { soundBody } = endless;
  const head = chunkedHead(endless);
  const answerBegin = `${head}${chunkOf(soundBody)}0\r\n`;
  switch (kind) {
    case 'garbage':
      return { begin: '', repeated: '\u0000\u0015#%' };
    case 'headLine':
      return { begin: 'HTTP/1.1 200 ', repeated: 'O' };
    case 'headerFields':
      return { begin: 'HTTP/1.1 200 OK\r\n', repeated: `X-More: ${LINE}\r\n` };
    case 'trailers':
      return { begin: answerBegin, repeated: `X-More: ${LINE}\r\n` };
    case 'afterAnswer':
      return { begin: `${answerBegin}\r\n`, repeated: LINE };
    case 'interimAnswers':
      return { begin: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' };
    case 'emptyLines':
      return { begin: '', repeated: '\r\n' };
    case 'chunkExtension':
      return { begin: `${head}5;`, repeated: 'x' };
    case 'failure':
      return { begin: chunkedHead(endless, '500 Failed'), repeated: chunkOf(LINE) };
    case 'notExecuted': {
      const rejection = chunkedHead(endless, '503 Busy');
      return { begin: withHeaders(rejection, ['X-Not-Executed: 1']), repeated: chunkOf(LINE) };
    }
    case 'event':
      return { begin: head + chunkOf('data: '), repeated: chunkOf(LINE) };
    case 'comments':
      return { begin: head, repeated: chunkOf(`: ${LINE}\n\n`) };
    default:
      return kind satisfies never;
  }
}

/** Bytes that are written at once. */
const QUICK_PART_BYTES = 65_536;
const SLOW_PART_BYTES = 8_192;
const SLOW_GAP_MS = 50;
/** Bytes of one answer after which a server stops by itself. */
const MAX_BYTES = 64 * 1_048_576;

function repeatUpTo(text: string, bytes: number): Buffer {
  return Buffer.from(text.repeat(Math.max(1, Math.floor(bytes / text.length))), 'latin1');
}

/** An answer without end. */
export interface EndlessAnswer {
  readonly path: string;
  /** Bytes that the operating system has taken, those not read yet included. */
  writtenBytes(): number;
  /** Whether its connection is open. */
  isOpen(): boolean;
}

/** Writes a shape until the connection closes, not faster than it is read. */
export function writeEndlessly(
  shape: EndlessShape,
  endless: EndlessRequest,
  socket: Socket,
): EndlessAnswer {
  const isSlow = 'pace' in shape && shape.pace === 'slow';
  const { begin, repeated } = textOf(shape, endless);
  const part = repeatUpTo(repeated, isSlow ? SLOW_PART_BYTES : QUICK_PART_BYTES);
  const beforeBytes = socket.bytesWritten;
  const writtenBytes = (): number => socket.bytesWritten - socket.writableLength - beforeBytes;

  const goOn = (): void => {
    if (socket.destroyed || writtenBytes() >= MAX_BYTES) return;
    const mayGoOn = socket.write(part);
    if (!mayGoOn) socket.once('drain', goOn);
    else if (isSlow) setTimeout(goOn, SLOW_GAP_MS).unref();
    else setImmediate(goOn);
  };
  socket.write(begin);
  goOn();
  return { path: endless.request.path, writtenBytes, isOpen: () => !socket.destroyed };
}
