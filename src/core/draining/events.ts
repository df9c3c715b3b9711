import type { EventDefinition } from '../events';

/** Events 3200 to 3299: the planned stop of this instance. */
export const DRAINING_EVENTS = {
  refusing: {
    id: 3200,
    name: 'instance-refusing',
    level: 'info',
    text: 'The stop has been announced; new requests are refused as not run, open ones are finished.',
    action: 'None.',
  },
  waiting: {
    id: 3201,
    name: 'instance-drain-waiting',
    level: 'info',
    text: 'The instance still has open work and waits for it.',
    action:
      'None; long answers may take a while. A second signal ends the instance and cuts the open work listed here.',
  },
  drained: {
    id: 3202,
    name: 'instance-drained',
    level: 'info',
    text: 'No work is open any more.',
    action: 'None; the counts show the requests served and refused after the stop began.',
  },
} as const satisfies Record<string, EventDefinition>;
