import type { EventDefinition } from '../events';

/** Events 700 to 799: the platform's services. */
export const PLATFORM_EVENTS = {
  configurationUnavailable: {
    id: 700,
    name: 'configuration-service-unavailable',
    level: 'warn',
    text: 'The configuration service did not answer; the version in force stays.',
    action: 'Look at the configuration service; requests go on meanwhile.',
  },
} as const satisfies Record<string, EventDefinition>;
