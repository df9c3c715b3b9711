import type { Socket } from 'node:net';
import { chunkOf } from './announced-server';

/** How a connection ends. */
export type Ending = 'closed' | 'reset';

/** Place at which the connection of an answer ends, after so many of its bytes. */
export interface Cut {
  readonly atByte: number;
  readonly ending: Ending;
}

/** An answer as it is written to a connection; all of its characters are ASCII. */
export interface FramedAnswer {
  /** Says how the end of the body is known. */
  readonly name: string;
  readonly text: string;
  /** Bytes before the body, interim answers included. */
  readonly headBytes: number;
  /** Whether only the end of the connection marks the end of the body. */
  readonly isCloseDelimited: boolean;
}

/** Turns of the event loop before a reset: an earlier one could discard bytes before this process has read them. */
const TURNS_BEFORE_RESET = 3;
const HEAD_END = '\r\n\r\n';
const INTERIM_ANSWER = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const CHUNKED = 'Transfer-Encoding: chunked';
const CLOSE = 'Connection: close';
const TRAILERS = '0\r\nX-Last: 1\r\nX-Request-Id: other\r\n\r\n';

/** Returns each place within `text`, with both endings; the last place is after all of it. */
export function cutsOf(text: string): readonly Cut[] {
  const places = Array.from({ length: text.length + 1 }, (_unused, atByte) => atByte);
  return places.flatMap((atByte) => [
    { atByte, ending: 'closed' as const },
    { atByte, ending: 'reset' as const },
  ]);
}

function afterTurns(turns: number, action: () => void): void {
  setImmediate(() => {
    if (turns <= 1) action();
    else afterTurns(turns - 1, action);
  });
}

/** Writes the last bytes of a connection and ends it. */
export function endAtCut(
  socket: Socket,
  lastBytes: string | Uint8Array,
  ending: Ending,
  onEnded: () => void = () => {},
): void {
  if (ending === 'closed') {
    socket.end(lastBytes, onEnded);
    return;
  }
  socket.write(lastBytes, () =>
    afterTurns(TURNS_BEFORE_RESET, () => {
      socket.resetAndDestroy();
      onEnded();
    }),
  );
}

/** Writes an answer up to a cut, and ends its connection there. */
export function writeCut(socket: Socket, text: string, { atByte, ending }: Cut): void {
  endAtCut(socket, text.slice(0, atByte), ending);
}

/** Returns one answer in each way in which its body can be framed; `parts` are the chunks of a chunked one. */
export function frameAnswer(
  status: string,
  headers: readonly string[],
  parts: readonly string[],
): readonly FramedAnswer[] {
  const body = parts.join('');
  const chunks = parts.map(chunkOf).join('');
  const length = `Content-Length: ${body.length}`;
  const answer = (
    name: string,
    framing: readonly string[],
    written: string,
    before = '',
    version = 'HTTP/1.1',
  ): FramedAnswer => {
    const head = `${before}${[`${version} ${status}`, ...headers, ...framing].join('\r\n')}${HEAD_END}`;
    const isCloseDelimited = framing.every((line) => line === CLOSE);
    return { name, text: head + written, headBytes: head.length, isCloseDelimited };
  };
  return [
    answer('with a length', [length], body),
    answer('with a length, on a connection that ends', [length, CLOSE], body),
    answer('with a length, of HTTP/1.0', [length], body, '', 'HTTP/1.0'),
    answer('in chunks', [CHUNKED], chunks + chunkOf('')),
    answer('in chunks, on a connection that ends', [CHUNKED, CLOSE], chunks + chunkOf('')),
    answer('in chunks with trailers', [CHUNKED, 'Trailer: X-Last'], chunks + TRAILERS),
    answer('after an interim answer', [length], body, INTERIM_ANSWER),
    answer('with neither', [], body),
  ];
}
