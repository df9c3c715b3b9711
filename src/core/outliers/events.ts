import type { EventDefinition } from '../events';

/** Events 1400 to 1499: outlier ejection. */
export const OUTLIER_EVENTS = {
  ejected: {
    id: 1400,
    name: 'server-ejected',
    level: 'warn',
    text: 'A server fails or is far slower than others of its group; it temporarily gets no requests.',
    action: 'Check the named server; it is used again automatically, at first with few requests.',
  },
} as const satisfies Record<string, EventDefinition>;
