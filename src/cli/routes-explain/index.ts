import { Command, Option } from 'clipanion';
import { GatewayCommand } from '../gateway-command';

/** `routes explain`: why a request would go where. */
export class RoutesExplainCommand extends GatewayCommand {
  static override paths = [['routes', 'explain']];

  static override usage = Command.Usage({
    category: 'Operating',
    description: 'Say where a request of a caller to a service would go at an instance, and why.',
    details:
      'Nothing is sent or counted. Exits with 1 when the caller or service is unknown there.',
    examples: [
      [
        'A floor plan from Rundu',
        '$0 routes explain --key KEY --instance 10.20.3.2:7090 --caller builders-desk --service kit-large',
      ],
    ],
  });

  instance = Option.String('--instance', { required: true, description: 'Operators listener' });

  key = Option.String('--key', {
    required: true,
    description: 'Operator key',
    env: 'COLTSFOOTWORKS_OPERATOR_KEY',
  });

  caller = Option.String('--caller', { required: true, description: 'Id of the caller' });

  service = Option.String('--service', { required: true, description: 'Service or model' });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  override async run(): Promise<number> {
    const { printExplanation } = await import('./print-explanation');
    const { instance, key, caller, service, json } = this;
    return printExplanation({ instance, key, caller, service, json }, this.context.stdout);
  }
}
