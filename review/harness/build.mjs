/** Bundles the script of each case, so that it runs without a TypeScript loader. */
import { existsSync, mkdirSync } from 'node:fs';
import { build } from 'esbuild';

const MAX_CASES = 5;
const OUT = 'target/review';

const numbers = Array.from({ length: MAX_CASES }, (_, index) => index + 1);
const scripts = numbers.filter((number) => existsSync(`review/${number}/case.ts`));

mkdirSync(OUT, { recursive: true });
await build({
  entryPoints: scripts.map((number) => ({
    in: `review/${number}/case.ts`,
    out: `case-${number}`,
  })),
  outdir: OUT,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
