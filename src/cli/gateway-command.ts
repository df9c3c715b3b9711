import { Command } from 'clipanion';
import { GatewayError } from '../core/errors';

/** Exit codes that scripts may rely on. */
export const EXIT_CODES = {
  ok: 0,
  /** The command ran and its answer is no: a check failed, instances lag. */
  negative: 1,
  /** The command could not do its work: wrong usage, unreadable input, nobody answers. */
  failed: 2,
} as const;

/** A command whose failures are printed from the errors catalogue, with what to do. */
export abstract class GatewayCommand extends Command {
  /** Does the work and resolves with the exit code. */
  abstract run(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof GatewayError)) throw error;
      const { title, message, hint } = error;
      this.context.stderr.write(`${title}.\n${message}\nWhat to do: ${hint}\n`);
      return EXIT_CODES.failed;
    }
  }
}
