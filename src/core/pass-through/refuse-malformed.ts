import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerConnections } from './caller-connections';

/** Status lines of the refusals of bytes that are no request, by the code of the error. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const DEFAULT_STATUS_LINE = '400 Bad Request';

/**
 * Refuses bytes that are no request, or whose headers take too long, and closes their connection.
 *
 * If a request before them is in progress, its answer comes first. Node.js would send the refusal in its place, so that
 * a request that runs would count as refused, or close its answer midway.
 */
export function refuseMalformed(server: Server, connections: CallerConnections): void {
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    connections.closeAfterAnswers(socket, (hadAnswers) => {
      const statusLine = STATUS_LINES[error.code ?? ''] ?? DEFAULT_STATUS_LINE;
      if (!hadAnswers && socket.writable) {
        socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
      }
      socket.destroySoon();
    });
  });
}
