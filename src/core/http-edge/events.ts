import type { EventDefinition } from '../events';

/** Events 200 to 299: the callers' listener. */
export const HTTP_EDGE_EVENTS = {
  entryChosen: {
    id: 200,
    name: 'entry-chosen',
    level: 'debug',
    text: 'A caller was told which instance to use.',
    action: 'None.',
  },
  badConnection: {
    id: 201,
    name: 'bad-connection',
    level: 'debug',
    text: 'A connection sent something that is not HTTP, or was too slow.',
    action: 'None, unless there are many; then look who sends it.',
  },
} as const satisfies Record<string, EventDefinition>;
