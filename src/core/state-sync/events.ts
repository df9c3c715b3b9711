import type { EventDefinition } from '../events';

/** Events of the copy of what is published. */
export const STATE_SYNC_EVENTS = {
  routesInForce: {
    id: 4001,
    name: 'routes-in-force',
    level: 'info',
    text: 'A version of the routes came into force.',
    action: 'Nothing.',
  },
  serverChanged: {
    id: 4002,
    name: 'published-server-changed',
    level: 'info',
    text: 'A backend server was announced, changed its state or has gone.',
    action: 'Nothing.',
  },
  evacuationChanged: {
    id: 4003,
    name: 'evacuation-changed',
    level: 'info',
    text: 'The evacuation of a failure domain began or ended.',
    action: 'Nothing.',
  },
  sourceLost: {
    id: 4004,
    name: 'state-source-lost',
    level: 'warn',
    text: 'The source of published state does not answer this instance.',
    action: 'The instance goes on with what it knows; look at the source and the way to it.',
  },
  sourceRegained: {
    id: 4005,
    name: 'state-source-regained',
    level: 'info',
    text: 'The source of published state answers again.',
    action: 'Nothing.',
  },
  itemUnreadable: {
    id: 4006,
    name: 'published-item-unreadable',
    level: 'warn',
    text: 'A published item could not be read and was passed over.',
    action: 'Correct the item that is named; what stood before it stays in force.',
  },
  takenFromPeer: {
    id: 4007,
    name: 'state-taken-from-peer',
    level: 'info',
    text: 'Published state was taken over from another instance.',
    action: 'Nothing.',
  },
  sourceRestored: {
    id: 4009,
    name: 'state-source-restored',
    level: 'warn',
    text: 'The source of published state has come back from an older copy; everything was read again.',
    action:
      'Publish again what was published since that copy; until then what instances hold stays in force.',
  },
  olderRoutesPassedOver: {
    id: 4010,
    name: 'older-routes-passed-over',
    level: 'info',
    text: 'The source holds an older version of the routes than the one in force, which stays.',
    action: 'Publish the newer version again if the source has come back from an older copy.',
  },
  peerUnavailable: {
    id: 4008,
    name: 'peer-state-unavailable',
    level: 'info',
    text: 'Another instance could not hand out what it knows of published state.',
    action: 'Nothing; another instance is asked next.',
  },
} as const satisfies Record<string, EventDefinition>;
