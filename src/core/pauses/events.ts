import type { EventDefinition } from '../events';

/** Events 3300 to 3399: times at which this process stood still. */
export const PAUSE_EVENTS = {
  noticed: {
    id: 3300,
    name: 'pause-noticed',
    level: 'warn',
    text: 'This process stood still; nothing that waits is sent before its view is refreshed.',
    action:
      'Look for a frozen or overcommitted machine, or a blocked event loop, at the time named by pausedMs.',
  },
  refreshed: {
    id: 3301,
    name: 'pause-refreshed',
    level: 'info',
    text: 'Members and configuration are as new as those of a peer again.',
    action: 'None.',
  },
  unconfirmed: {
    id: 3302,
    name: 'pause-unconfirmed',
    level: 'warn',
    text: 'No peer could be reached after a pause; the instance goes on with what it knows.',
    action: 'Look at the network of this instance; callers are served meanwhile.',
  },
} as const satisfies Record<string, EventDefinition>;
