import type { Socket } from 'node:net';
import { Agent, buildConnector } from 'undici';

/** Closes a connection on which too much arrives between two writes, that is in answer to one request. */
function boundAnswers(socket: Socket, maxAnswerBytes: number): void {
  let writtenBytes = 0;
  let answeredFromBytes = 0;
  socket.on('readable', () => {
    if (socket.bytesWritten !== writtenBytes) {
      writtenBytes = socket.bytesWritten;
      answeredFromBytes = socket.bytesRead;
    }
    if (socket.bytesRead - answeredFromBytes <= maxAnswerBytes) return;
    socket.destroy(new Error(`The answer is longer than ${maxAnswerBytes} bytes.`));
  });
}

/**
 * Creates an agent for answers of up to `maxAnswerBytes`, interim answers, heads and framing included. Its requests must not
 * be pipelined.
 */
export function createBoundedAgent(
  maxAnswerBytes: number,
  options: Omit<Agent.Options, 'connect'> = {},
): Agent {
  const connect = buildConnector({});
  return new Agent({
    ...options,
    connect(target, callback) {
      connect(target, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        boundAnswers(socket, maxAnswerBytes);
        callback(null, socket);
      });
    },
  });
}
