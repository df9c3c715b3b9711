import type { EventDefinition } from '../events';

/** Events 800 to 899: requests that are admitted, wait, or are refused. */
export const LOAD_CONTROL_EVENTS = {
  admitted: {
    id: 800,
    name: 'request-admitted',
    level: 'info',
    text: 'A request was admitted.',
    action: 'None; shows how long it waits and how full the service is.',
  },
  refused: {
    id: 801,
    name: 'request-not-admitted',
    level: 'info',
    text: 'A request was refused because of load; the refusal states when to retry.',
    action:
      'If these last for minutes, add servers or check whether one caller causes most of them.',
  },
  expired: {
    id: 802,
    name: 'request-left-queue',
    level: 'warn',
    text: 'A waiting request left the queue because it could no longer complete before its deadline.',
    action: 'Waits were longer than expected; check whether servers became slow at that time.',
  },
} as const satisfies Record<string, EventDefinition>;
