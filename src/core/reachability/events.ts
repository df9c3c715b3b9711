import type { EventDefinition } from '../events';

/** Events 5201 to 5299: links of this instance to the backend servers of its region. */
export const REACHABILITY_EVENTS = {
  cut: {
    id: 5201,
    name: 'links-to-servers-cut',
    level: 'warn',
    text: 'This instance reaches no backend server of its region any more.',
    action:
      'Check the network between this instance and the servers, and whether others reach them.',
  },
  restored: {
    id: 5202,
    name: 'links-to-servers-restored',
    level: 'info',
    text: 'This instance reaches backend servers of its region again.',
    action: 'Nothing.',
  },
} as const satisfies Record<string, EventDefinition>;
