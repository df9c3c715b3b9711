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
    text: 'Another instance is considered dead and receives no work.',
    action:
      'Check whether it was replaced; if a whole region is affected, check the network to it.',
  },
  peerSuspected: {
    id: 502,
    name: 'peer-suspected',
    level: 'info',
    text: 'Another instance does not answer; it receives no work until it refutes the suspicion.',
    action:
      'None immediately; if one instance is suspected often, check its load and its network links.',
  },
  peerLeaving: {
    id: 503,
    name: 'peer-leaving',
    level: 'info',
    text: 'Another instance is stopping and accepts no new work.',
    action: 'None.',
  },
  newLife: {
    id: 504,
    name: 'own-life-raised',
    level: 'warn',
    text: 'This instance was considered dead, was paused, or replaced one with the same instanceId; it continues as a new life.',
    action: 'Look for a pause of the machine or a network failure at that time.',
  },
  nameUsedTwice: {
    id: 505,
    name: 'instance-name-used-twice',
    level: 'error',
    text: 'Two running processes use the same instanceId; each repeatedly takes it over from the other.',
    action: 'Give each instance a unique instanceId and restart the one that was named wrongly.',
  },
  pauseNoticed: {
    id: 506,
    name: 'own-pause-noticed',
    level: 'warn',
    text: 'This process was paused; its knowledge of other instances is verified before it is used.',
    action: 'Check the machine for overload, suspension or migration.',
  },
  exchangeFailed: {
    id: 507,
    name: 'exchange-failed',
    level: 'debug',
    text: 'An exchange with another instance failed.',
    action: 'None.',
  },
} as const satisfies Record<string, EventDefinition>;
