import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cli, Command, Option } from 'clipanion';
import { z } from 'zod';
import { EXIT_CODES } from '../src/cli/gateway-command';
import { FAULT_KINDS } from './faults';
import { runSoak } from './run-soak';
import { MAX_VERSIONS } from './server-versions';

const optionsSchema = z.object({
  seed: z.coerce.number().int().min(0),
  seeds: z.coerce.number().int().min(1).max(1_000),
  seconds: z.coerce.number().min(1).max(3_600),
  instances: z.coerce.number().int().min(1).max(60),
  versions: z.coerce.number().int().min(1).max(MAX_VERSIONS),
  only: z
    .string()
    .transform((text) => text.split(','))
    .pipe(z.array(z.enum(FAULT_KINDS)))
    .optional(),
});

/** Maximum number of broken promises that are printed for one seed. */
const MAX_PRINTED_PROMISES = 20;

/** Runs one seed after another and prints a row for each; ends with 1 if a promise was broken. */
class SoakCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Run real processes on loopback under seeded faults, and check what callers saw.',
    examples: [
      ['Five seeds', 'npm run soak -- --seed 1 --seeds 5 --seconds 30 --instances 6'],
      ['Faults of two kinds', 'npm run soak -- --only cutLinks,restartServer'],
      ['Losses of all instances', 'npm run soak -- --only killAll,stopAll --versions 1'],
    ],
  });

  seed = Option.String('--seed', '1', { description: 'First seed' });

  seeds = Option.String('--seeds', '1', { description: 'Number of seeds, at most 1,000' });

  seconds = Option.String('--seconds', '30', {
    description: 'Time in which faults begin, for each seed, s; at most 3,600',
  });

  instances = Option.String('--instances', '6', { description: 'Processes, at most 60' });

  versions = Option.String('--versions', '2', {
    description: `Software versions of the servers, at most ${MAX_VERSIONS}; with 1, rollouts change none`,
  });

  only = Option.String('--only', { description: 'Kinds of faults, by commas; all by default' });

  override async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const checked = optionsSchema.safeParse(this);
    if (!checked.success) {
      stderr.write(`${z.prettifyError(checked.error)}\n${this.cli.usage(SoakCommand)}`);
      return EXIT_CODES.failed;
    }
    const { seed, seeds, seconds, instances, versions, only: kinds = FAULT_KINDS } = checked.data;
    const folder = mkdtempSync(join(tmpdir(), 'soak-logs-'));
    let brokenCount = 0;
    for (let next = seed; next < seed + seeds; next += 1) {
      const logFolder = join(folder, `seed-${next}`);
      const { broken, ...row } = await runSoak({
        seed: next,
        seconds,
        instances,
        versions,
        kinds,
        logFolder,
      });
      stdout.write(`${JSON.stringify({ ...row, broken: broken.length })}\n`);
      for (const { promise, requestId, detail } of broken.slice(0, MAX_PRINTED_PROMISES)) {
        stdout.write(`  ${promise} ${requestId}: ${detail}\n`);
      }
      brokenCount += broken.length;
    }
    stdout.write(`Logs of the instances: ${folder}\n`);
    return brokenCount === 0 ? EXIT_CODES.ok : EXIT_CODES.negative;
  }
}

/** Creates the command line of the soak. */
export function createSoakCli(): Cli {
  const cli = new Cli({ binaryName: 'npm run soak --' });
  cli.register(SoakCommand);
  return cli;
}
