import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';
import { createCli } from './create-cli';

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function runCommand(words: readonly string[]): Promise<CommandResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const context = { stdout, stderr, stdin: process.stdin, colorDepth: 1, env: {} };
  const [code, out, err] = await Promise.all([
    createCli()
      .run([...words], context)
      .finally(() => {
        stdout.end();
        stderr.end();
      }),
    text(stdout),
    text(stderr),
  ]);
  return { code, out, err };
}

interface Case {
  readonly name: string;
  readonly words: readonly string[];
  readonly code: number;
  readonly out?: RegExp;
  readonly err?: RegExp;
}

const OMARURU = 'samples/omaruru/configuration.json';
const HOOGHLY = 'samples/hooghly/configuration.json';

const CASES: readonly Case[] = [
  { name: 'finds the sample of Omaruru valid', words: ['config', 'check', OMARURU], code: 0 },
  { name: 'finds the sample of Hooghly valid', words: ['config', 'check', HOOGHLY], code: 0 },
  {
    name: 'finds the sample settings valid',
    words: ['config', 'check', '--settings', 'samples/omaruru/settings.json'],
    code: 0,
  },
  {
    name: 'names the path of each mistake',
    words: ['config', 'check', '--json', 'samples/omaruru/settings.json'],
    code: 1,
    out: /"path":"\/version"/,
  },
  {
    name: 'names an unknown key and says what to write',
    words: ['config', 'check', '--settings', OMARURU],
    code: 1,
    out: /weights/,
  },
  {
    name: 'says when a file is not there',
    words: ['config', 'check', 'no-such-file.json'],
    code: 2,
    err: /What to do/,
  },
  {
    name: 'prints the patch between two versions',
    words: ['config', 'diff', OMARURU, HOOGHLY],
    code: 1,
    out: /"path": "\/deployment"/,
  },
  {
    name: 'finds a version alike with itself',
    words: ['config', 'diff', HOOGHLY, HOOGHLY],
    code: 0,
  },
  { name: 'explains one event', words: ['events', '601'], code: 0, out: /configuration-refused/ },
  { name: 'has no event 1', words: ['events', '1'], code: 1 },
  {
    name: 'says when no instance answers',
    words: ['config', 'status', '--key', 'k', '--instance', '127.0.0.1:1'],
    code: 2,
    err: /127\.0\.0\.1:1/,
  },
  {
    name: 'refuses to serve without settings',
    words: ['serve'],
    code: 2,
    err: /COLTSFOOTWORKS_SETTINGS/,
  },
  {
    name: 'names mistakes in settings instead of starting',
    words: ['serve', '--settings', OMARURU],
    code: 2,
    err: /\/instanceId/,
  },
];

describe('the command line', () => {
  for (const { name, words, code, out, err } of CASES) {
    it(name, async () => {
      const result = await runCommand(words);
      assert.equal(result.code, code, result.out + result.err);
      if (out !== undefined) assert.match(result.out, out);
      if (err !== undefined) assert.match(result.err, err);
    });
  }
});
