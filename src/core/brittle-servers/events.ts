import type { EventDefinition } from '../events';

/** Events 5301 to 5399: servers that fail if they have to reject many requests. */
export const BRITTLE_SERVER_EVENTS = {
  brittle: {
    id: 5301,
    name: 'service-brittle',
    level: 'warn',
    text: 'The servers of a service state that they fail if they have to reject many requests.',
    action: 'Nothing. No more requests are sent to them than they have slots.',
  },
  recovered: {
    id: 5302,
    name: 'service-no-longer-brittle',
    level: 'info',
    text: 'No server of the service states any more that it fails if it has to reject many requests.',
    action: 'Nothing.',
  },
  malformed: {
    id: 5303,
    name: 'server-brittleness-malformed',
    level: 'warn',
    text: 'A header by which a backend server states how many rejections it bears cannot be interpreted.',
    action: 'Check the version of the server.',
  },
} as const satisfies Record<string, EventDefinition>;
