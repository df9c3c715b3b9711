import type { EventDefinition } from '../events';

/** Events of calls between instances. */
export const CALL_EVENTS = {
  failed: {
    id: 4601,
    name: 'call-failed',
    level: 'warn',
    text: 'A call of another instance could not be answered.',
    action: 'Look at the reason; the other instance tries again or asks somebody else.',
  },
} as const satisfies Record<string, EventDefinition>;
