/**
 * Runs the load scenarios and holds their figures to the bounds; the same figures every time.
 * `npm run bench:decisions [-- --json] [-- WORD...]`: only scenarios whose name holds one of the words.
 */
import { checkFigure } from './bounds';
import { formatChecks, formatCosts, formatRuns } from './print';
import { SCENARIOS } from './scenarios';

const asJson = process.argv.includes('--json');
const words = process.argv.slice(2).filter((word) => !word.startsWith('--'));
const chosen = SCENARIOS.filter(
  ({ name }) => words.length === 0 || words.some((word) => name.includes(word)),
);

const results = chosen.map((entry) => {
  const { runs, figures } = entry.run();
  return { name: entry.name, summary: entry.summary, runs, checks: figures.map(checkFigure) };
});

if (asJson) {
  const plain = results.map(({ runs, ...rest }) => ({
    ...rest,
    runs: runs.map(({ classes, crashesByFingerprint, ...run }) => ({
      ...run,
      classes: Object.fromEntries(classes),
      crashesByFingerprint: Object.fromEntries(crashesByFingerprint),
    })),
  }));
  console.log(JSON.stringify(plain, null, 2));
} else {
  for (const { name, summary, runs, checks } of results) {
    console.log(`\n## ${name}\n${summary}\n`);
    console.log(formatRuns(runs));
    console.log(`\n${formatCosts(runs)}`);
    console.log(`\n${formatChecks(checks)}`);
  }
}

if (results.some(({ checks }) => checks.some(({ holds }) => !holds))) process.exitCode = 1;
