import type { EventDefinition } from '../events';

/** Events 3100 to 3199: health of the backend servers. */
export const SERVER_HEALTH_EVENTS = {
  serverUsable: {
    id: 3100,
    name: 'server-usable',
    level: 'info',
    text: 'A backend server accepts new work again; its share of requests rises gradually.',
    action: 'None.',
  },
  serverDraining: {
    id: 3101,
    name: 'server-draining',
    level: 'info',
    text: 'A backend server is leaving: it gets no new work and finishes its open requests.',
    action: 'None when the stop was planned; the cause names the source.',
  },
  serverDown: {
    id: 3102,
    name: 'server-down',
    level: 'warn',
    text: 'A backend server fails its health checks and gets no new work.',
    action: 'Inspect the server; it gets work again without intervention once its checks pass.',
  },
  checksDoubted: {
    id: 3103,
    name: 'checks-doubted',
    level: 'warn',
    text: 'No server that this instance checks answers; it does not report them to its peers as down.',
    action:
      'Check the network of this instance first, and the servers only if other instances report them too.',
  },
  listUnavailable: {
    id: 3104,
    name: 'server-list-unavailable',
    level: 'warn',
    text: 'The platform’s list of backend servers could not be read; health checks continue.',
    action: 'Check the platform’s catalogue; leaving servers are still detected by checks.',
  },
  markRejected: {
    id: 3105,
    name: 'server-mark-rejected',
    level: 'warn',
    text: 'The statement of a peer about a server could not be parsed.',
    action: 'Check whether instances of very different releases run side by side.',
  },
} as const satisfies Record<string, EventDefinition>;
