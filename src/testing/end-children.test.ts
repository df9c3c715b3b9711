import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import process from 'node:process';
import { describe, it } from 'node:test';
import { waitFor } from './wait-for';

const PARENT = `
  import { spawn } from 'node:child_process';
  import { endChildrenWithProcess } from './src/testing/end-children.ts';
  const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  endChildrenWithProcess(() => [child]);
  process.stdout.write(String(child.pid) + '\\n');
  setInterval(() => {}, 1000);
`;

function isRunning(processId: number): boolean {
  try {
    process.kill(processId, 0);
    return true;
  } catch {
    return false;
  }
}

// Whoever runs a soak by hand closes the terminal. The instances that it started would run on unnoticed, and take the
// processor time and the addresses of the next run.
describe('child processes', () => {
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    it(`end with the process that started them on ${signal}`, async () => {
      const args = ['--import', 'tsx', '--input-type=module', '--eval', PARENT];
      const parent = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
      const [line] = (await once(parent.stdout, 'data')) as [Buffer];
      const childId = Number(line.toString());
      assert.ok(isRunning(childId));
      parent.kill(signal);
      await once(parent, 'exit');
      await waitFor(() => !isRunning(childId), 'the end of the child');
    });
  }
});
