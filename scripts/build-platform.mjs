/** Builds target/coltsfootworks.cjs: the instance as the users' platform runs it, in one file. */
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

const OUT = 'target';

mkdirSync(OUT, { recursive: true });
await build({
  entryPoints: ['platform/main.ts'],
  outfile: `${OUT}/coltsfootworks.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: false,
  logLevel: 'warning',
});
