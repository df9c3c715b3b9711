/**
 * Starts the instance from its bundle with compiled code that the build kept beside it.
 *
 * After a loss of power all instances start again with all callers waiting, and compiling the bundle, and what serves
 * the first requests, is a large part of what they wait for. Where V8 does not accept the kept code (another version,
 * other flags), it compiles the bundle as if there were none.
 */
const { readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const process = require('node:process');
const { Script } = require('node:vm');

const HERE = path.dirname(require.main.filename);
const BUNDLE = path.join(HERE, 'coltsfootworks-bundle.cjs');
const CODE_CACHE = path.join(HERE, 'coltsfootworks-bundle.cache');
/** Set by the build alone: the compiled code is to be written when the build says so. */
const WRITE_VARIABLE = 'COLTSFOOTWORKS_WRITE_CODE_CACHE';

function readCodeCache() {
  try {
    return readFileSync(CODE_CACHE);
  } catch {
    // The build makes it last; without it the bundle is compiled as usual.
    return undefined;
  }
}

const script = new Script(Module.wrap(readFileSync(BUNDLE, 'utf8')), {
  filename: BUNDLE,
  cachedData: readCodeCache(),
});
const main = { exports: {} };
script.runInThisContext().call(main.exports, main.exports, require, main, BUNDLE, HERE);

if (process.env[WRITE_VARIABLE] !== undefined) {
  process.on('SIGUSR2', () => {
    writeFileSync(CODE_CACHE, script.createCachedData());
    process.exit(0);
  });
}
