import type { IncomingMessage } from 'node:http';

/** Result of reading a body. */
export type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'gone' };

const EMPTY = Buffer.alloc(0);

/** Returns whether the headers state that the request has a body. */
function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'];
  return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** Reads the complete body, so that it can be sent again, and so that no server waits for a slow caller. */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
  onResult: (result: BodyResult) => void,
): void {
  if (!hasBody(incoming)) {
    onResult({ kind: 'whole', body: EMPTY });
    return;
  }
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
    onResult({ kind: 'tooLarge' });
    return;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let isSettled = false;
  const settle = (result: BodyResult) => {
    if (isSettled) return;
    isSettled = true;
    onResult(result);
  };
  incoming.on('data', (chunk: Buffer) => {
    if (isSettled) return;
    bytes += chunk.length;
    if (bytes <= maxBytes) {
      chunks.push(chunk);
      return;
    }
    chunks.length = 0;
    settle({ kind: 'tooLarge' });
  });
  incoming.on('end', () => {
    settle({
      kind: 'whole',
      body: chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat(chunks),
    });
  });
  incoming.on('close', () => settle({ kind: 'gone' }));
  incoming.on('error', () => settle({ kind: 'gone' }));
}
