import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMemoryLogger, freePort, waitFor } from '../../testing';
import { RELAY_NODE_EVENTS } from './events';
import { openStatementSocket } from './statement-socket';

const HOST = '127.0.0.1';

async function open(port: number, large: string[] = []) {
  const logger = createMemoryLogger();
  const sendLarge = (_address: string, text: string) => {
    large.push(text);
  };
  const socket = await openStatementSocket({ host: HOST, port, logger, sendLarge });
  return { socket, logger };
}

describe('load updates between instances', () => {
  it('arrive as they were sent', async () => {
    const port = await freePort([HOST]);
    const { socket: receiver } = await open(port);
    const { socket: sender } = await open(0);
    const received: string[] = [];
    receiver.onStatement((text) => received.push(text));
    // A datagram may be lost, so send until one arrives.
    await waitFor(() => {
      sender.send(`${HOST}:${port}`, '["a",[],[]]');
      return received.length > 0;
    }, 'a statement');
    assert.equal(received[0], '["a",[],[]]');
    await receiver[Symbol.asyncDispose]();
    await sender[Symbol.asyncDispose]();
  });

  it('are passed to the sender for large statements if they are too large for a datagram', async () => {
    const large: string[] = [];
    const { socket } = await open(0, large);
    const text = 'x'.repeat(2_000);
    socket.send(`${HOST}:1`, text);
    assert.deepEqual(large, [text]);
    await socket[Symbol.asyncDispose]();
  });

  // With a wrong address, sending fails dozens of times a second; a line for each failure would flood the log.
  it('are logged once if sending keeps failing', async () => {
    const { socket, logger } = await open(0);
    for (let count = 0; count < 10; count += 1) socket.send(`${HOST}:0`, '["a",[],[]]');
    assert.equal(logger.of(RELAY_NODE_EVENTS.statementsFail).length, 1);
    await socket[Symbol.asyncDispose]();
  });
});
