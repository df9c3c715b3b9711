import { Command, Option } from 'clipanion';
import { GatewayCommand } from '../gateway-command';

/** `config check`: says whether a configuration or settings document is right. */
export class ConfigCheckCommand extends GatewayCommand {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check a configuration, or settings, and name each mistake.',
    examples: [
      ['A configuration', '$0 config check configuration.json'],
      ['Settings of an instance', '$0 config check --settings instance.json'],
      ['From standard input', '$0 config check - < configuration.json'],
    ],
  });

  isSettings = Option.Boolean('--settings', false, { description: 'The document is settings' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  document = Option.String({ name: 'FILE' });

  override async run(): Promise<number> {
    const { checkDocument } = await import('./check-document');
    return checkDocument(this.document, this.isSettings, this.json, this.context.stdout);
  }
}
