import type { EventDefinition } from '../events';

/** Events 100 to 199: this instance as a whole. */
export const NODE_EVENTS = {
  started: {
    id: 100,
    name: 'instance-started',
    level: 'info',
    text: 'The instance has started.',
    action: 'None.',
  },
  stopping: {
    id: 101,
    name: 'instance-stopping',
    level: 'info',
    text: 'The instance takes no new work and finishes what is in flight.',
    action: 'None; a second signal ends it at once.',
  },
  stopped: {
    id: 102,
    name: 'instance-stopped',
    level: 'info',
    text: 'The instance has stopped; nothing in flight was cut.',
    action: 'None.',
  },
  cutShort: {
    id: 103,
    name: 'instance-cut-short',
    level: 'warn',
    text: 'A second signal ended the instance at once.',
    action:
      'The counts say how many requests of callers and of peers were cut; their callers were told nothing.',
  },
  reloadAsked: {
    id: 104,
    name: 'reload-asked',
    level: 'warn',
    text: 'A signal asked for the settings to be read again; they are read at the start alone.',
    action: 'Replace the instance to change its settings; configuration changes need no signal.',
  },
} as const satisfies Record<string, EventDefinition>;
