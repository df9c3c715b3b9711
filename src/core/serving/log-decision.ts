import type { Logger } from '../events';
import type { Slot } from '../load-control';
import { ROUTING_EVENTS } from '../routing';
import type { RoutingDecision } from '../routing';
import type { GatewayRequest } from './types';

function fieldsOf({ requestId, attempt, service }: GatewayRequest) {
  return { requestId, attempt, service: service.name };
}

/** Writes the line that says to which other region a request goes; its own region's server gets `logServer`. */
export function logRoute(logger: Logger, request: GatewayRequest, decision: RoutingDecision): void {
  switch (decision.kind) {
    case 'here':
      return;
    case 'peer':
      logger.event(ROUTING_EVENTS.routed, {
        ...fieldsOf(request),
        reason: decision.reason,
        instance: decision.peer.instanceId,
        region: decision.peer.region,
        runnersUp: decision.runnersUp,
      });
      return;
    case 'none':
      logger.event(ROUTING_EVENTS.noRoute, { ...fieldsOf(request), reason: decision.reason });
      return;
    default:
      decision satisfies never;
  }
}

/** Writes the one line that says which server a request goes to, what else was near, and why. */
export function logServer(logger: Logger, request: GatewayRequest, slot: Slot): void {
  logger.event(ROUTING_EVENTS.routed, {
    ...fieldsOf(request),
    reason: slot.reason,
    server: slot.serverId,
    runnersUp: slot.runnersUp,
    waitedMs: Math.round(slot.waitedMs),
  });
}
