import type { EventDefinition } from '../events';

/** Events 1500 to 1599: requests that crash servers. */
export const POISON_EVENTS = {
  suspected: {
    id: 1500,
    name: 'request-suspected',
    level: 'warn',
    text: 'A server broke its connection while it ran a request; that request is a suspect.',
    action: 'Look whether the server crashed. A single suspect clears itself with its next answer.',
  },
  proven: {
    id: 1501,
    name: 'poison-request-proven',
    level: 'error',
    text: 'A second server broke its connection while it ran the same request; it is refused from now on.',
    action:
      'Ask the caller named for the request and mend the server; the refusal lapses by itself.',
  },
  cleared: {
    id: 1502,
    name: 'request-cleared',
    level: 'info',
    text: 'A suspected request was answered and is no longer a suspect.',
    action: 'None.',
  },
  checked: {
    id: 1503,
    name: 'crash-check-ended',
    level: 'info',
    text: 'It was found out whether a server crashed after it broke the connection of a request.',
    action:
      'None. The evidence says why it counts as crashed; the parts are digests of the prompt parts that other requests may share.',
  },
  learned: {
    id: 1504,
    name: 'crashes-learned',
    level: 'info',
    text: 'Another instance told of several crashes of servers that ran the same request.',
    action: 'None. If the age is many seconds, check the statements that wait for other instances.',
  },
} as const satisfies Record<string, EventDefinition>;
