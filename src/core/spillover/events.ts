import type { EventDefinition } from '../events';

/** Events 1700 to 1799: spillover between regions. */
export const SPILLOVER_EVENTS = {
  left: {
    id: 1700,
    name: 'request-spilled-over',
    level: 'info',
    text: 'A request leaves its home region.',
    action: 'None if temporary; if it persists, the region named as home needs capacity.',
  },
  foreignRefused: {
    id: 1701,
    name: 'foreign-request-refused',
    level: 'info',
    text: 'A request from another region was refused so that callers of this one are served first.',
    action: 'None if temporary; if it persists, both regions lack capacity.',
  },
} as const satisfies Record<string, EventDefinition>;
