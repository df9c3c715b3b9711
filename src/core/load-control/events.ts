import type { EventDefinition } from '../events';

/** Events 800 to 899: what is let in, what waits, what is refused. */
export const LOAD_CONTROL_EVENTS = {
  admitted: {
    id: 800,
    name: 'request-admitted',
    level: 'info',
    text: 'A request was let in.',
    action: 'None; shows how long it waits and how full the service is.',
  },
  refused: {
    id: 801,
    name: 'request-not-admitted',
    level: 'info',
    text: 'A request was refused for its load; it was told when to come back.',
    action: 'Where these last for minutes, add servers or look for one caller with most of them.',
  },
  expired: {
    id: 802,
    name: 'request-left-queue',
    level: 'warn',
    text: 'A waiting request left the queue, since it could no longer be whole before its deadline.',
    action: 'Waits were longer than expected; look whether servers became slow at that time.',
  },
} as const satisfies Record<string, EventDefinition>;
