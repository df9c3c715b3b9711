import { Builtins, Cli } from 'clipanion';
import { ServeCommand } from './cli/serve';
import { VERSION } from './runtime/version';

const cli = new Cli({
  binaryLabel: 'coltsfootworks',
  binaryName: 'coltsfootworks',
  binaryVersion: VERSION,
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(ServeCommand);

void cli.runExit(process.argv.slice(2));
