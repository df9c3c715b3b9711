import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, it } from 'node:test';

/** Writes far more lines than a pipe holds, and tells over another channel that it has come to the end. */
const PROGRAM = `
import { createWinstonLogger } from './src/runtime/winston-logger';
const definition = { id: 1, name: 'n', level: 'info', text: 't', action: 'a' };
const logger = createWinstonLogger('info');
let left = 40;
const writeSome = () => {
  for (let count = 0; count < 500; count += 1) logger.event(definition, { filler: 'x'.repeat(200) });
  left -= 1;
  if (left > 0) setTimeout(writeSome, 15);
  else process.send('through');
};
writeSome();
process.on('message', (message) => {
  if (message === 'end') process.exit(0);
  logger.event({ ...definition, level: 'error' });
});
`;

describe('a reader that has stopped reading the log', () => {
  // The collector of logs hangs. Were each line waited for, no request would be answered until it reads again.
  it('does not hold the process up, and is told of the lines that it has lost', async () => {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', '--input-type=module', '-e', PROGRAM],
      {
        stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
      },
    );
    const [message] = await once(child, 'message');
    assert.equal(message, 'through');
    let text = '';
    child.stdout?.on('data', (chunk: Buffer) => {
      text += chunk.toString();
      if (child.connected) child.send(text.includes('log-lines-dropped') ? 'end' : 'write a line');
    });
    await once(child, 'exit');
    const lines = text.trim().split('\n');
    const dropped = lines.map((line): { name?: string; others?: number } => JSON.parse(line));
    const account = dropped.find(({ name }) => name === 'log-lines-dropped');
    assert.ok((account?.others ?? 0) > 0, 'lines were left out and counted');
    assert.ok(lines.length < 20_000, `${lines.length} lines`);
  });
});
