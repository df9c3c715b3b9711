import type { ServerSender } from '../backends';
import type { ConfigurationStore } from '../configuration';
import type { PoisonGuard } from '../poison';
import { RefusalError } from '../refusals';
import { allowedRegionsNow } from '../residency';
import type { GatewayRequest } from './types';

/** What learns from each send. */
export interface SendObservers {
  readonly poison: PoisonGuard;
  readonly configuration: ConfigurationStore;
}

function regionsOf(configuration: ConfigurationStore, request: GatewayRequest): readonly string[] {
  const current = configuration.current() ?? request.configuration;
  return allowedRegionsNow(current, request.caller.id, request.service.name);
}

/** A sender that tells the observers how each send to a server ended. */
export function observeSends(
  sender: Pick<ServerSender, 'send'>,
  { poison, configuration }: SendObservers,
): Pick<ServerSender, 'send'> {
  return {
    async send(target, request, sink) {
      const regions = regionsOf(configuration, request);
      const watched = poison.watch(request, target.serverId, regions);
      try {
        await sender.send(target, request, sink);
        watched.answered();
      } catch (error) {
        if (error instanceof RefusalError && !target.signal.aborted) watched.failed(error.evidence);
        else watched.abandoned();
        throw error;
      }
    },
  };
}
