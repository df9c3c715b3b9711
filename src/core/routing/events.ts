import type { EventDefinition } from '../events';

/** Events 300 to 399: routing. */
export const ROUTING_EVENTS = {
  routed: {
    id: 300,
    name: 'request-routed',
    level: 'info',
    text: 'A request was routed.',
    action: 'None; shows what was chosen, the runners-up and why.',
  },
  noRoute: {
    id: 301,
    name: 'request-without-route',
    level: 'warn',
    text: 'No route was found for a request.',
    action: 'Check whether the service has servers in a region that the caller may use.',
  },
} as const satisfies Record<string, EventDefinition>;
