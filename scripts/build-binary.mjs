/**
 * Builds dist/coltsfootworks: the bundle inside a copy of this Node.js (a single executable application),
 * so that an instance needs neither node_modules nor an installed Node.js.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import process from 'node:process';
import { build } from 'esbuild';

const OUT = 'dist';
const BUNDLE = `${OUT}/bundle.cjs`;
const BLOB = `${OUT}/application.blob`;
const SEA_CONFIGURATION = `${OUT}/application.json`;
const BINARY = `${OUT}/coltsfootworks`;
/** Marker by which Node.js detects an injected blob; defined by Node.js. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

rmSync(OUT, { recursive: true, force: true });
mkdirSync(OUT, { recursive: true });

await build({
  entryPoints: ['src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: false,
  logLevel: 'warning',
});

writeFileSync(
  SEA_CONFIGURATION,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIGURATION], {
  stdio: 'ignore',
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  'node_modules/.bin/postject',
  [BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SEA_FUSE],
  { stdio: 'ignore' },
);

const megabytes = (statSync(BINARY).size / 2 ** 20).toFixed(1);
process.stdout.write(`${BINARY}: ${megabytes} MiB\n`);
