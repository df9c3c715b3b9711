import type { EventDefinition } from '../events';

/** Events of what backend servers state in their answers about the requests after them. */
export const SERVER_NOTICE_EVENTS = {
  leaving: {
    id: 5001,
    name: 'server-departure-stated',
    level: 'info',
    text: 'A backend server stated in an answer that it is leaving.',
    action: 'Nothing, if the departure was planned.',
  },
  paused: {
    id: 5002,
    name: 'server-pause-stated',
    level: 'warn',
    text: 'A backend server refused a request and asked this instance to send nothing for a while.',
    action: 'Check the load and health of the server.',
  },
  resumed: {
    id: 5003,
    name: 'server-pause-ended',
    level: 'info',
    text: 'A backend server that had asked for a pause has answered a request again.',
    action: 'Nothing.',
  },
  malformed: {
    id: 5004,
    name: 'server-notice-malformed',
    level: 'warn',
    text: 'A header by which a backend server states its departure or a pause has a value that cannot be interpreted.',
    action: 'Check the version of the server.',
  },
} as const satisfies Record<string, EventDefinition>;
