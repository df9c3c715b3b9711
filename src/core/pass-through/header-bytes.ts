import type { IncomingMessage } from 'node:http';

/** Returns the size of a request's header section in bytes, as the limit for callers counts it. */
export function headerBytes(incoming: IncomingMessage): number {
  // A line has two spaces and a line end, or a colon, a space and a line end.
  const separatorBytes = 4;
  const requestLine = incoming.method?.length ?? 0;
  return incoming.rawHeaders.reduce(
    (sum, text) => sum + text.length + separatorBytes / 2,
    requestLine + (incoming.url?.length ?? 0) + separatorBytes,
  );
}
