import type { EventDefinition } from '../events';

/** Events 500 to 599: other instances. */
export const MEMBERSHIP_EVENTS = {
  peerUp: {
    id: 500,
    name: 'peer-up',
    level: 'info',
    text: 'Another instance has joined, or has come back as a new life.',
    action: 'None.',
  },
  peerDown: {
    id: 501,
    name: 'peer-down',
    level: 'warn',
    text: 'Another instance is held for dead and is given no work.',
    action:
      'Look whether it was replaced; when a whole region is named, look at the network to it.',
  },
  peerSuspected: {
    id: 502,
    name: 'peer-suspected',
    level: 'info',
    text: 'Another instance does not answer; it is given no work until it denies being dead.',
    action:
      'None at once; if the same instance is suspected often, look at its load and its links.',
  },
  peerLeaving: {
    id: 503,
    name: 'peer-leaving',
    level: 'info',
    text: 'Another instance is stopping and takes no new work.',
    action: 'None.',
  },
  newLife: {
    id: 504,
    name: 'own-life-raised',
    level: 'warn',
    text: 'This instance was held for dead, stood still, or followed one of its own name; it goes on as a new life.',
    action: 'Look for a pause of the machine or a break of the network at that time.',
  },
  nameUsedTwice: {
    id: 505,
    name: 'instance-name-used-twice',
    level: 'error',
    text: 'Two running processes use the same instanceId; each keeps taking the name from the other.',
    action:
      'Give each instance an instanceId of its own and restart the one that was named wrongly.',
  },
  pauseNoticed: {
    id: 506,
    name: 'own-pause-noticed',
    level: 'warn',
    text: 'This process stood still; what it knew of others is checked again before it is acted on.',
    action: 'Look at the machine: overload, suspension or migration.',
  },
  exchangeFailed: {
    id: 507,
    name: 'exchange-failed',
    level: 'debug',
    text: 'An exchange with another instance failed.',
    action: 'None.',
  },
} as const satisfies Record<string, EventDefinition>;
