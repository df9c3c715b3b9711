import type { EventDefinition } from '../events';

/** Events 5600 to 5699: assertions of libraries that failed. */
export const FAILED_ASSERTION_EVENTS = {
  failed: {
    id: 5601,
    name: 'assertion-failed',
    level: 'error',
    text: 'An assertion of a library failed; what it was occupied with has ended with an error.',
    action: 'Find the source of the place, see the page on operating, and report it.',
  },
} as const satisfies Record<string, EventDefinition>;
