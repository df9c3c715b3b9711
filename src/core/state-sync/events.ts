import type { EventDefinition } from '../events';

/** Log events of the local copy of published state. */
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
    text: 'A backend server was announced, changed its state or was removed.',
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
    action:
      'The instance continues with its last known state; check the source and the network path to it.',
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
    text: 'A published item could not be parsed and was ignored.',
    action: 'Correct the named item; its previous content stays in force.',
  },
  copiedFromPeer: {
    id: 4007,
    name: 'state-taken-from-peer',
    level: 'info',
    text: 'Published state was copied from another instance.',
    action: 'Nothing.',
  },
  sourceRestored: {
    id: 4009,
    name: 'state-source-restored',
    level: 'warn',
    text: 'The source of published state was restored from an older backup; the complete state was read again.',
    action:
      'Publish again all changes made since that backup; until then the state held by instances stays in force.',
  },
  olderRoutesIgnored: {
    id: 4010,
    name: 'older-routes-passed-over',
    level: 'info',
    text: 'The source holds an older version of the routes than the one in force, which stays.',
    action: 'Publish the newer version again if the source was restored from an older backup.',
  },
  peerUnavailable: {
    id: 4008,
    name: 'peer-state-unavailable',
    level: 'info',
    text: 'Another instance could not provide its copy of published state.',
    action: 'Nothing; the next instance is tried.',
  },
  pastChecked: {
    id: 4011,
    name: 'published-past-checked',
    level: 'info',
    text: 'After a complete read, it was found out whether the source proves which software versions have served before.',
    action:
      'Nothing. Without evidence, streams that others began before are taken up only if another instance knows their version.',
  },
} as const satisfies Record<string, EventDefinition>;
