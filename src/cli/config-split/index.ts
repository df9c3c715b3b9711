import { Command, Option } from 'clipanion';
import { EXIT_CODES, GatewayCommand } from '../gateway-command';

/** `config split`: the published form of a configuration that is too large for one value. */
export class ConfigSplitCommand extends GatewayCommand {
  static override paths = [['config', 'split']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Cut a version into a root and documents, for a service that holds small values.',
    details:
      'Writes documents/HASH and root.json into a folder on the operator’s machine. Publish the documents first, each under KEY/documents/HASH, and root.json under KEY last. With the version before and its root, the change itself becomes a small document, so that it costs its size and not the whole.',
    examples: [
      ['The first version', '$0 config split --out published version-1.json'],
      [
        'One that follows',
        '$0 config split --out published --previous version-1.json --previous-root published/root.json version-2.json',
      ],
    ],
  });

  out = Option.String('--out', { required: true, description: 'Folder to write to' });

  previous = Option.String('--previous', { description: 'The version that was published before' });

  previousRoot = Option.String('--previous-root', { description: 'Its root.json' });

  document = Option.String({ name: 'VERSION' });

  override async run(): Promise<number> {
    const { writePublishedForm } = await import('./write-published-form');
    const written = writePublishedForm(this.document, this.out, this.previous, this.previousRoot);
    this.context.stdout.write(
      `version ${written.version}: ${written.newDocuments} new documents, ${written.newBytes} bytes\n`,
    );
    return EXIT_CODES.ok;
  }
}
