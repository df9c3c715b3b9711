import type { Logger } from '../events';
import { ROUTING_EVENTS } from '../routing';
import type { RoutingDecision } from '../routing';
import type { GatewayRequest } from './types';

/** Writes the one log line that says where a request goes, what else was near, and why. */
export function logDecision(
  logger: Logger,
  request: GatewayRequest,
  decision: RoutingDecision,
): void {
  const fields = {
    requestId: request.requestId,
    attempt: request.attempt,
    service: request.service.name,
    reason: decision.reason,
  };
  switch (decision.kind) {
    case 'server':
      logger.event(ROUTING_EVENTS.routed, {
        ...fields,
        server: decision.server.serverId,
        runnersUp: decision.runnersUp,
      });
      return;
    case 'peer':
      logger.event(ROUTING_EVENTS.routed, {
        ...fields,
        instance: decision.peer.instanceId,
        region: decision.peer.region,
        runnersUp: decision.runnersUp,
      });
      return;
    case 'none':
      logger.event(ROUTING_EVENTS.noRoute, fields);
      return;
    default:
      decision satisfies never;
  }
}
