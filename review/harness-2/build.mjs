import { existsSync, readdirSync } from 'node:fs';
import { build } from 'esbuild';

/** Bundles `review/N/case.ts` of each case to `target/review-2/case-N.cjs`. */
const cases = readdirSync('review').filter(
  (name) => Number(name) >= 6 && existsSync(`review/${name}/case.ts`),
);
await build({
  entryPoints: cases.map((name) => ({ in: `review/${name}/case.ts`, out: `case-${name}` })),
  outdir: 'target/review-2',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
});
