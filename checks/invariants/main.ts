import { parseArgs } from 'node:util';
import process from 'node:process';
import { runSchedule } from './run-schedule';

/** `npm run check:invariants -- [--schedules N] [--seed FIRST]`: searches for an order of faults that breaks a promise. */

const { values } = parseArgs({
  options: {
    schedules: { type: 'string', default: '10000' },
    seed: { type: 'string', default: '1' },
  },
});
const schedules = Number(values.schedules);
const firstSeed = Number(values.seed);

const totals = { runs: 0, answers: 0, notRun: 0, ran: 0, unknown: 0 };
for (let seed = firstSeed; seed < firstSeed + schedules; seed += 1) {
  const result = await runSchedule(seed);
  if (result.violations.length > 0) {
    console.error(`Seed ${seed} breaks a promise:`);
    for (const violation of result.violations) console.error(`  ${violation}`);
    console.error('What happened:');
    for (const line of result.history) console.error(`  ${line}`);
    console.error(`Run it again: npm run check:invariants -- --schedules 1 --seed ${seed}`);
    process.exit(1);
  }
  totals.runs += result.runs;
  totals.answers += result.answers;
  totals.notRun += result.notRun;
  totals.ran += result.ran;
  totals.unknown += result.unknown;
}
console.log(`${schedules} schedules from seed ${firstSeed} on: no promise broken.`);
console.log(
  `Orders run ${totals.runs}; answers ${totals.answers}; told notRun ${totals.notRun}, ran ${totals.ran}, unknown ${totals.unknown}.`,
);
