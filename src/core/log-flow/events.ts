import type { EventDefinition } from '../events';

/** Events 4300 to 4399: the log itself. */
export const LOG_FLOW_EVENTS = {
  linesDropped: {
    id: 4301,
    name: 'log-lines-dropped',
    level: 'warn',
    text: 'Log lines were left out, because whatever reads them did not keep up.',
    action: 'Look at the collector of logs; failures are counted apart from other lines.',
  },
} as const satisfies Record<string, EventDefinition>;
