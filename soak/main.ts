/**
 * A soak of real processes on loopback: `npm run soak -- --seed 1 --seeds 5 --seconds 30 --instances 6`. Runs one seed after
 * another, prints a row for each, and ends with 1 where a promise was broken. Logs stay in the folder that is named.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { runSoak } from './run-soak';

const optionsSchema = z.object({
  seed: z.coerce.number().int().min(0).default(1),
  seeds: z.coerce.number().int().min(1).max(1_000).default(1),
  seconds: z.coerce.number().min(1).max(3_600).default(30),
  instances: z.coerce.number().int().min(1).max(60).default(6),
});

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    seeds: { type: 'string' },
    seconds: { type: 'string' },
    instances: { type: 'string' },
  },
});
const checked = optionsSchema.safeParse(values);
if (!checked.success) {
  process.stderr.write(`${z.prettifyError(checked.error)}\n`);
  process.exit(2);
}
const { seed, seeds, seconds, instances } = checked.data;
const folder = mkdtempSync(join(tmpdir(), 'soak-logs-'));
let brokenCount = 0;
for (let next = seed; next < seed + seeds; next += 1) {
  const logFolder = join(folder, `seed-${next}`);
  const { broken, ...row } = await runSoak({ seed: next, seconds, instances, logFolder });
  console.log(JSON.stringify({ ...row, broken: broken.length }));
  for (const { promise, requestId, detail } of broken.slice(0, 20)) {
    console.log(`  ${promise} ${requestId}: ${detail}`);
  }
  brokenCount += broken.length;
}
console.log(`Logs of the instances: ${folder}`);
process.exitCode = brokenCount === 0 ? 0 : 1;
