import type { EventDefinition } from '../events';

/** Events 1300 to 1399: retries. */
export const RETRY_EVENTS = {
  retried: {
    id: 1300,
    name: 'request-retried',
    level: 'info',
    text: 'An attempt got no answer and the request is retried elsewhere.',
    action: 'None for a few; if many name the same server or instance, check that one.',
  },
  gaveUp: {
    id: 1301,
    name: 'request-not-retried',
    level: 'info',
    text: 'An attempt got no answer and the request is not retried.',
    action: 'See the reason field; "budget empty" means that most requests of the service fail.',
  },
} as const satisfies Record<string, EventDefinition>;
