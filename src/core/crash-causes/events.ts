import type { EventDefinition } from '../events';

/** Events 5500 to 5599: parts of prompts that crash servers. */
export const CRASH_CAUSE_EVENTS = {
  found: {
    id: 5500,
    name: 'crashing-part-found',
    level: 'error',
    text: 'A part of prompts crashes each server that begins to write an answer on it; requests with it are refused.',
    action:
      'Lines 1503 with the same part name the requests and servers. If the share of requests is large, the route is stopped: mend the servers first.',
  },
  learned: {
    id: 5501,
    name: 'crashing-part-learned',
    level: 'warn',
    text: 'Another instance found a part of prompts that crashes servers; requests with it are refused.',
    action: 'None. The line 5500 of that instance says why.',
  },
  released: {
    id: 5502,
    name: 'crashing-part-released',
    level: 'warn',
    text: 'An answer on a part of prompts was completed after the crashes for which it was refused; it is no longer refused.',
    action: 'Look what else the crashed servers had in common.',
  },
  refused: {
    id: 5503,
    name: 'crashing-part-refused',
    level: 'info',
    text: 'A request was refused because a part of its prompt crashes servers.',
    action: 'None. Lines 5500 and 5501 with the same part say why.',
  },
} as const satisfies Record<string, EventDefinition>;
