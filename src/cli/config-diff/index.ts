import { Command, Option } from 'clipanion';
import { EXIT_CODES, GatewayCommand } from '../gateway-command';

/** `config diff`: the patch between two versions. */
export class ConfigDiffCommand extends GatewayCommand {
  static override paths = [['config', 'diff']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Print the RFC 6902 patch that turns one version into another.',
    details: 'Exits with 0 when the two are alike save for their numbers, else with 1.',
    examples: [['Two versions', '$0 config diff version-7.json version-8.json']],
  });

  from = Option.String({ name: 'FROM' });

  to = Option.String({ name: 'TO' });

  override async run(): Promise<number> {
    const { diffConfigurations } = await import('../../core/configuration-patch');
    const { readJsonObject } = await import('../read-document');
    const patch = diffConfigurations(readJsonObject(this.from), readJsonObject(this.to));
    this.context.stdout.write(`${JSON.stringify(patch, null, 2)}\n`);
    return patch.length === 0 ? EXIT_CODES.ok : EXIT_CODES.negative;
  }
}
