import { Builtins, Cli } from 'clipanion';
import { ConfigCheckCommand } from './config-check';
import { ConfigDiffCommand } from './config-diff';
import { ConfigPatchCommand } from './config-patch';
import { ConfigSplitCommand } from './config-split';
import { ConfigStatusCommand } from './config-status';
import { EventsCommand } from './events';
import { RoutesExplainCommand } from './routes-explain';
import { ServeCommand } from './serve';
import { VERSION } from '../runtime/version';

/** The command line with all its commands; each loads its duty only when it runs. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: 'coltsfootworks',
    binaryName: 'coltsfootworks',
    binaryVersion: VERSION,
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(ServeCommand);
  cli.register(ConfigCheckCommand);
  cli.register(ConfigDiffCommand);
  cli.register(ConfigPatchCommand);
  cli.register(ConfigSplitCommand);
  cli.register(ConfigStatusCommand);
  cli.register(EventsCommand);
  cli.register(RoutesExplainCommand);
  return cli;
}
