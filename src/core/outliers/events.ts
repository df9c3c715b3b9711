import type { EventDefinition } from '../events';

/** Events 1400 to 1499: outlier ejection. */
export const OUTLIER_EVENTS = {
  ejected: {
    id: 1400,
    name: 'server-ejected',
    level: 'warn',
    text: 'A server fails, or takes far longer than others of its kind; it gets no requests for a while.',
    action: 'Look at the server named; it comes back by itself, at first with few requests.',
  },
} as const satisfies Record<string, EventDefinition>;
