import { Command, Option } from 'clipanion';
import { GatewayCommand } from '../gateway-command';

/** `config status`: which version is in force where. */
export class ConfigStatusCommand extends GatewayCommand {
  static override paths = [['config', 'status']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Print the version in force on every instance, and which lag.',
    details:
      'Asks one instance, or several: each tells of the whole fleet as it sees it. Exits with 1 when an instance lags.',
    examples: [['Ask one', '$0 config status --key KEY --instance 10.20.1.2:7090']],
  });

  instances = Option.Array('--instance', { required: true, description: 'Operators listener' });

  key = Option.String('--key', {
    required: true,
    description: 'Operator key',
    env: 'COLTSFOOTWORKS_OPERATOR_KEY',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(): Promise<number> {
    const { printStatus } = await import('./print-status');
    return printStatus(this.instances, this.key, this.json, this.context.stdout);
  }
}
