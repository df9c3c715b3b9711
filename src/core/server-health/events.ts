import type { EventDefinition } from '../events';

/** Events 3100 to 3199: backend servers that come and go. */
export const SERVER_HEALTH_EVENTS = {
  serverUsable: {
    id: 3100,
    name: 'server-usable',
    level: 'info',
    text: 'A backend server takes new work again, little at first.',
    action: 'None.',
  },
  serverDraining: {
    id: 3101,
    name: 'server-draining',
    level: 'info',
    text: 'A backend server is leaving: it gets no new work and finishes what it has.',
    action: 'None when the stop was planned; the cause says who told it.',
  },
  serverDown: {
    id: 3102,
    name: 'server-down',
    level: 'warn',
    text: 'A backend server fails its health checks and gets no new work.',
    action: 'Look at the server; it is taken back by itself once its checks pass.',
  },
  checksDoubted: {
    id: 3103,
    name: 'checks-doubted',
    level: 'warn',
    text: 'No server that this instance checks answers; it does not tell its peers that they are down.',
    action:
      'Look at the network of this instance first, and at the servers only if others report them too.',
  },
  listUnavailable: {
    id: 3104,
    name: 'server-list-unavailable',
    level: 'warn',
    text: 'The platform’s list of backend servers did not answer; health checks go on.',
    action: 'Look at the platform’s catalogue; leaving servers are still noticed by checks.',
  },
  markRejected: {
    id: 3105,
    name: 'server-mark-rejected',
    level: 'warn',
    text: 'A peer’s statement about a server could not be read.',
    action: 'Look whether instances of very different releases run side by side.',
  },
} as const satisfies Record<string, EventDefinition>;
