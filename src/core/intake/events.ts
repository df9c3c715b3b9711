import type { EventDefinition } from '../events';

/** Events 4400 to 4499: requests that wait in the process itself. */
export const INTAKE_EVENTS = {
  began: {
    id: 4401,
    name: 'backlog-began',
    level: 'warn',
    text: 'Requests arrive faster than the process serves them; they wait, and the newest are served first.',
    action: 'Nothing immediately. If it lasts for seconds, add instances or processor time.',
  },
  ended: {
    id: 4402,
    name: 'backlog-ended',
    level: 'info',
    text: 'No request waits in the process any more.',
    action: 'Check how long it lasted and how many requests were refused.',
  },
  stalled: {
    id: 4403,
    name: 'loop-stalled',
    level: 'warn',
    text: 'The event loop stood still until now; nobody was answered meanwhile.',
    action:
      'Check work and subject: what the instance was occupied with. If busyMs is small, its machine was paused instead.',
  },
} as const satisfies Record<string, EventDefinition>;
