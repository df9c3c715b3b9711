import type { IncomingMessage } from 'node:http';

/** What came of reading a body. */
export type BodyReading =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'gone' };

const EMPTY = Buffer.alloc(0);

/** Whether the request states that it has a body. */
function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'];
  return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** Reads a body whole, so that it can be sent again, and so that no server waits on a slow caller. */
export function readBody(
  incoming: IncomingMessage,
  mostBytes: number,
  onRead: (reading: BodyReading) => void,
): void {
  if (!hasBody(incoming)) {
    onRead({ kind: 'whole', body: EMPTY });
    return;
  }
  if (Number(incoming.headers['content-length'] ?? 0) > mostBytes) {
    onRead({ kind: 'tooLarge' });
    return;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let isOver = false;
  const end = (reading: BodyReading) => {
    if (isOver) return;
    isOver = true;
    onRead(reading);
  };
  incoming.on('data', (chunk: Buffer) => {
    if (isOver) return;
    bytes += chunk.length;
    if (bytes > mostBytes) end({ kind: 'tooLarge' });
    else chunks.push(chunk);
  });
  incoming.on('end', () => {
    end({
      kind: 'whole',
      body: chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat(chunks),
    });
  });
  incoming.on('close', () => end({ kind: 'gone' }));
  incoming.on('error', () => end({ kind: 'gone' }));
}
