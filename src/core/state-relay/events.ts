import type { EventDefinition } from '../events';

/** Events of following what is published through other instances. */
export const STATE_RELAY_EVENTS = {
  watching: {
    id: 4701,
    name: 'watching-the-source',
    level: 'info',
    text: 'This instance watches the source of published state itself.',
    action: 'Nothing.',
  },
  following: {
    id: 4702,
    name: 'following-an-instance',
    level: 'info',
    text: 'This instance learns of published state from another one.',
    action: 'Nothing.',
  },
  watcherFailed: {
    id: 4703,
    name: 'watcher-failed',
    level: 'info',
    text: 'Another instance was of no use as a watcher; the next one or the source is asked.',
    action: 'Look at that instance if many others name it for longer than a few seconds.',
  },
} as const satisfies Record<string, EventDefinition>;
