import type { EventDefinition } from '../events';

/** Events of an instance that passes requests through. */
export const RELAY_NODE_EVENTS = {
  started: {
    id: 4201,
    name: 'relay-started',
    level: 'info',
    text: 'The instance accepts connections of callers and of other instances.',
    action: 'Nothing.',
  },
  stopping: {
    id: 4202,
    name: 'relay-stopping',
    level: 'info',
    text: 'A planned stop has begun; callers are directed to other instances.',
    action: 'Nothing.',
  },
  stopped: {
    id: 4203,
    name: 'relay-stopped',
    level: 'info',
    text: 'The instance exits.',
    action: 'Check the number of open requests; it should be 0.',
  },
  settingsChanged: {
    id: 4204,
    name: 'relay-settings-changed',
    level: 'info',
    text: 'The settings were reloaded and are in force.',
    action: 'Nothing.',
  },
  settingsRefused: {
    id: 4205,
    name: 'relay-settings-refused',
    level: 'warn',
    text: 'The settings could not be reloaded; the previous ones stay in force.',
    action: 'Correct the settings; the reason names the invalid field.',
  },
  pauseNoticed: {
    id: 4206,
    name: 'relay-pause-noticed',
    level: 'warn',
    text: 'This process was paused.',
    action: 'Check the machine; nothing else is needed.',
  },
  statementsFail: {
    id: 4207,
    name: 'relay-statements-fail',
    level: 'warn',
    text: 'The load of this instance could not be sent to another instance.',
    action:
      'Nothing, unless it persists: other instances then choose servers without knowing of its requests.',
  },
} as const satisfies Record<string, EventDefinition>;
