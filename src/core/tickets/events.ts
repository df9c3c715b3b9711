import type { EventDefinition } from '../events';

/** Events 1000 to 1099: one-use tickets and forwarded attempts. */
export const TICKET_EVENTS = {
  presented: {
    id: 1000,
    name: 'ticket-presented',
    level: 'info',
    text: 'A ticket was presented to its owner.',
    action: 'None; "found" says whether the call had been presented before and what became of it.',
  },
  ended: {
    id: 1001,
    name: 'ticket-ended',
    level: 'info',
    text: 'The one run that a ticket allows has ended.',
    action: 'Where the end is "unknown", look in the application whether the call ran.',
  },
  ownerNotReached: {
    id: 1002,
    name: 'ticket-owner-not-reached',
    level: 'warn',
    text: 'A ticket was presented here whose owner is gone, cut off or replaced; nothing was run.',
    action: 'The caller was told "unknown"; a rise means that an instance or a link is down.',
  },
  lingering: {
    id: 1003,
    name: 'ticket-lingering',
    level: 'info',
    text: 'The instance stays a little longer, to answer for tickets that it has minted.',
    action: 'None.',
  },
} as const satisfies Record<string, EventDefinition>;
