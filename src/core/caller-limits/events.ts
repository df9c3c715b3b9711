import type { EventDefinition } from '../events';

/** Events 1600 to 1699: account limits. */
export const CALLER_LIMIT_EVENTS = {
  refused: {
    id: 1600,
    name: 'caller-over-limit',
    level: 'info',
    text: 'A caller sent more than its account allows; the request was refused and did not run.',
    action: 'None; raise the limit in the configuration if the caller should be allowed more.',
  },
} as const satisfies Record<string, EventDefinition>;
