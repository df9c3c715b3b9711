import { Command, Option } from 'clipanion';
import { GatewayCommand } from '../gateway-command';

/** `serve`: runs one instance until a signal stops it. */
export class ServeCommand extends GatewayCommand {
  static override paths = [['serve']];

  static override usage = Command.Usage({
    description: 'Run one instance.',
    examples: [
      ['Settings from a file', '$0 serve --settings instance.json'],
      ['Record decisions beside the log', '$0 serve --settings instance.json --record -'],
      ['Settings from standard input', '$0 serve --settings - < instance.json'],
    ],
  });

  settings = Option.String('--settings', {
    description: 'File with the settings, or - for standard input',
  });

  record = Option.String('--record', {
    description: 'Record decisions to a file, or to - for standard output, for a later replay',
  });

  override async run(): Promise<number> {
    const { serve } = await import('./run-serve');
    return serve(this.settings, this.record);
  }
}
