import type { EventDefinition } from '../events';

/** Events of the limits that backend servers name in their answers. */
export const SERVER_LIMIT_EVENTS = {
  learned: {
    id: 4901,
    name: 'server-limit-learned',
    level: 'warn',
    text: 'A backend server named a limit on the requests that it takes from all instances together.',
    action: 'Check the load and health of the server.',
  },
  changed: {
    id: 4902,
    name: 'server-limit-changed',
    level: 'info',
    text: 'The limit of a backend server has changed.',
    action: 'Nothing.',
  },
  ended: {
    id: 4903,
    name: 'server-limit-ended',
    level: 'info',
    text: 'A backend server no longer names a limit.',
    action: 'Nothing.',
  },
  malformed: {
    id: 4904,
    name: 'server-limit-malformed',
    level: 'warn',
    text: 'A backend server named a limit that is not a number; the value was ignored.',
    action: 'Check the version of the server.',
  },
} as const satisfies Record<string, EventDefinition>;
