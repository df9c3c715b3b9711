import { Command, Option } from 'clipanion';
import { EXIT_CODES, GatewayCommand } from '../gateway-command';

/** `events`: the catalogue of log events. */
export class EventsCommand extends GatewayCommand {
  static override paths = [['events']];

  static override usage = Command.Usage({
    category: 'Operating',
    description: 'Print the catalogue of log events.',
    examples: [['What event 601 means', '$0 events 601']],
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  id = Option.String({ name: 'NUMBER', required: false });

  override async run(): Promise<number> {
    const { EVENT_CATALOGUE } = await import('../../core/events/catalogue');
    const events = EVENT_CATALOGUE.filter(
      (event) => this.id === undefined || String(event.id) === this.id,
    );
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(events)}\n`);
    } else {
      for (const { id, name, level, text, action } of events) {
        this.context.stdout.write(`${id}\t${level}\t${name}\n\t${text}\n\t${action}\n`);
      }
    }
    return events.length > 0 ? EXIT_CODES.ok : EXIT_CODES.negative;
  }
}
