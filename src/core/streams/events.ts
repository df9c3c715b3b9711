import type { EventDefinition } from '../events';

/** Events 1100 to 1199: streamed answers. */
export const STREAM_EVENTS = {
  resumed: {
    id: 1100,
    name: 'stream-resumed',
    level: 'warn',
    text: 'A streamed answer broke off and is continued at the same place on another connection.',
    action: 'Look at the server or peer named; the caller has noticed a pause at most.',
  },
} as const satisfies Record<string, EventDefinition>;
