import { Command, Option } from 'clipanion';
import { EXIT_CODES, GatewayCommand } from '../gateway-command';

/** `config patch`: makes the next version for the operator to publish. */
export class ConfigPatchCommand extends GatewayCommand {
  static override paths = [['config', 'patch']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Apply an RFC 6902 patch to the latest version and print the next one.',
    details:
      'Nothing is published: the system writes no shared state, so the operator does. A base that is not the latest version is refused, since somebody else has published meanwhile.',
    examples: [
      [
        'Make version 8 from version 7',
        '$0 config patch --base 7 --patch change.json version-7.json > version-8.json',
      ],
    ],
  });

  base = Option.String('--base', {
    required: true,
    description: 'Number of the version that the patch was written against',
  });

  patch = Option.String('--patch', { required: true, description: 'File with the patch, or -' });

  latest = Option.String({ name: 'LATEST' });

  override async run(): Promise<number> {
    const { makeNextVersion } = await import('./make-next-version');
    const document = makeNextVersion(this.latest, Number(this.base), this.patch);
    this.context.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
    return EXIT_CODES.ok;
  }
}
