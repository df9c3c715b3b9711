import type { EventDefinition } from '../events';

/** Events 500 to 599: other instances. */
export const MEMBERSHIP_EVENTS = {
  peerUp: {
    id: 500,
    name: 'peer-up',
    level: 'info',
    text: 'Another instance answers.',
    action: 'None.',
  },
  peerDown: {
    id: 501,
    name: 'peer-down',
    level: 'warn',
    text: 'Another instance has stopped answering.',
    action:
      'Look whether it was replaced; when a whole region is named, look at the network to it.',
  },
} as const satisfies Record<string, EventDefinition>;
