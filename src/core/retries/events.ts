import type { EventDefinition } from '../events';

/** Events 1300 to 1399: retries. */
export const RETRY_EVENTS = {
  retried: {
    id: 1300,
    name: 'request-retried',
    level: 'info',
    text: 'A try brought no answer and the request is tried again elsewhere.',
    action: 'None for a few; many that name one server or instance point to it.',
  },
  gaveUp: {
    id: 1301,
    name: 'request-not-retried',
    level: 'info',
    text: 'A try brought no answer and there is no further one.',
    action: 'The reason says why; "budget empty" means that most requests of the service fail.',
  },
} as const satisfies Record<string, EventDefinition>;
