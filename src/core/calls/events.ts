import type { EventDefinition } from '../events';

/** Log events of calls between instances. */
export const CALL_EVENTS = {
  failed: {
    id: 4601,
    name: 'call-failed',
    level: 'warn',
    text: 'A call of another instance could not be answered.',
    action: 'Check the reason; the other instance retries or calls another one.',
  },
} as const satisfies Record<string, EventDefinition>;
