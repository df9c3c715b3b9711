/**
 * Builds what the users' platform runs: the bundle, its compiled code, and the file that starts an instance from both. Writes to
 * the folder that the first argument names, `target` without one.
 */
import { spawnSync } from 'node:child_process';
import { dirname } from 'node:path';
import process from 'node:process';
import { copyFileSync, mkdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

const OUT = process.argv[2] ?? 'target';
const START = `${OUT}/coltsfootworks.cjs`;
const CODE_CACHE = `${OUT}/coltsfootworks-bundle.cache`;
/** As in `deploy/system.toml`: V8 refuses compiled code that was made with other flags. */
const NODE_FLAGS = ['--max-old-space-size=200'];
const WARM_UP_TIMEOUT_MS = 30_000;
/** Length of lines of the bundle, characters; single tokens may be longer. */
const MAX_LINE_LENGTH = 200;

/** A module that fails with a message as soon as anything of it is used. */
function failing(what) {
  return `
    const fail = () => { throw new Error('${what} was left out of this build.'); };
    module.exports = new Proxy(fail, { get: fail });
  `;
}

/**
 * Parts of libraries that no call on the platform reaches, with what stands in their place. An instance loads all of the
 * bundle before it serves, and after a loss of power all callers wait for that: HTTP/2 alone brings in TLS and
 * cryptography. A call that did reach one of them fails with a message that names it.
 */
const LEFT_OUT = [
  { part: /undici\/lib\/dispatcher\/client-h2\.js$/, standIn: failing('HTTP/2') },
  { part: /undici\/lib\/web\/fetch\/body\.js$/, standIn: failing('Bodies of fetch') },
  // Messages of checks are written in English only.
  {
    part: /zod\/v4\/locales\/index\.js$/,
    standIn: "export { default as en } from './en.js';",
  },
];

/** Has libraries use assertions that don't read the source of the bundle. */
const cheapAssertions = {
  name: 'cheap-assertions',
  setup({ onResolve, onLoad }) {
    const namespace = 'cheap-assertions';
    onResolve({ filter: /^(node:)?assert(\/strict)?$/ }, ({ path }) => ({ path, namespace }));
    onLoad({ filter: /.*/, namespace }, () => ({
      contents: "module.exports = require('./src/runtime/assertions.ts').assert;",
      resolveDir: process.cwd(),
    }));
  },
};

/** Replaces the parts that are left out. */
const leaveOut = {
  name: 'leave-out',
  setup({ onLoad }) {
    for (const { part, standIn } of LEFT_OUT) {
      onLoad({ filter: part }, ({ path }) => ({ contents: standIn, resolveDir: dirname(path) }));
    }
  },
};

mkdirSync(OUT, { recursive: true });
await build({
  entryPoints: ['platform/start.ts'],
  outfile: `${OUT}/coltsfootworks-bundle.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  // Stack traces and fatal errors show whole lines, and tools read them.
  lineLimit: MAX_LINE_LENGTH,
  // Written beside the bundle and never loaded by it: `npm run find:source` reads it.
  sourcemap: 'external',
  sourcesContent: false,
  // Names of functions and classes stand in log lines and stack traces.
  keepNames: true,
  logLevel: 'warning',
  plugins: [leaveOut, cheapAssertions],
});
copyFileSync('scripts/start-with-code-cache.cjs', START);
rmSync(CODE_CACHE, { force: true });
const warmUp = spawnSync(
  process.execPath,
  ['--import', 'tsx', 'scripts/write-code-cache.ts', START, ...NODE_FLAGS],
  { stdio: ['ignore', 'ignore', 'inherit'], timeout: WARM_UP_TIMEOUT_MS },
);
if (warmUp.status !== 0) {
  process.stderr.write(
    'no compiled code was kept; instances will compile the bundle at each start\n',
  );
}
