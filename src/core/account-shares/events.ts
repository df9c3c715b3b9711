import type { EventDefinition } from '../events';

/** Events of the shares of accounts. */
export const ACCOUNT_SHARE_EVENTS = {
  scarce: {
    id: 5101,
    name: 'service-scarce',
    level: 'warn',
    text: 'A service has become scarce: its servers had no room for a request of a client account.',
    action: 'Check which accounts ask for most, and add servers if the demand is usual.',
  },
  notScarce: {
    id: 5102,
    name: 'service-no-longer-scarce',
    level: 'info',
    text: 'A service is no longer scarce: its servers have had room for a while.',
    action: 'Nothing.',
  },
} as const satisfies Record<string, EventDefinition>;
