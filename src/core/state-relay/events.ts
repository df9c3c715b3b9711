import type { EventDefinition } from '../events';

/** Log events of following published state through other instances. */
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
    text: 'This instance follows another one for changes of published state.',
    action: 'Nothing.',
  },
  watcherFailed: {
    id: 4703,
    name: 'watcher-failed',
    level: 'info',
    text: 'Another instance failed as a watcher; the next one or the source is used instead.',
    action: 'Check that instance if many others report it for longer than a few seconds.',
  },
} as const satisfies Record<string, EventDefinition>;
