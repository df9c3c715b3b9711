import type { IncomingMessage } from 'node:http';

/** Bytes of a request's header section, as a caller's limit counts them. */
export function headerBytes(incoming: IncomingMessage): number {
  const ends = 4;
  const requestLine = incoming.method?.length ?? 0;
  return incoming.rawHeaders.reduce(
    (sum, text) => sum + text.length + ends / 2,
    requestLine + (incoming.url?.length ?? 0) + ends,
  );
}
