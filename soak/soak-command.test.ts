import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { createSoakCli } from './soak-command';

async function run(args: readonly string[]) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await createSoakCli().run([...args], { stdout, stderr });
  const text = `${String(stdout.read() ?? '')}${String(stderr.read() ?? '')}`;
  return { exitCode, text };
}

/** Guards against a stack trace where somebody mistypes an option. */
describe('the command line of the soak', () => {
  const cases = [
    { name: 'help', args: ['--help'], exitCode: 0 },
    { name: 'an unknown option', args: ['--sed', '1'], exitCode: 1 },
    { name: 'a value that is no number', args: ['--seed', 'many'], exitCode: 2 },
    { name: 'too many instances', args: ['--instances', '61'], exitCode: 2 },
  ];
  for (const { name, args, exitCode } of cases) {
    it(`prints the usage on ${name}`, async () => {
      const result = await run(args);
      assert.equal(result.exitCode, exitCode);
      assert.match(result.text, /--seeds/);
      assert.doesNotMatch(result.text, /\n\s+at /);
    });
  }
});
