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
  held: {
    id: 5504,
    name: 'suspected-part-held',
    level: 'info',
    text: 'A request was refused for a moment because servers may crash on a part of its prompt; such requests go one at a time.',
    action: 'None. Lines 5505 with the same part name the requests that were sent.',
  },
  tried: {
    id: 5505,
    name: 'suspected-part-tried',
    level: 'info',
    text: 'A request was sent with parts on which servers may crash, while others with them are held back.',
    action: 'None. An answer clears the parts; a crash is in a line 1503.',
  },
} as const satisfies Record<string, EventDefinition>;
