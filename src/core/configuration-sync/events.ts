import type { EventDefinition } from '../events';

/** Events 650 to 699: how the configuration reaches this instance. */
export const CONFIGURATION_SYNC_EVENTS = {
  pullFailed: {
    id: 650,
    name: 'configuration-pull-failed',
    level: 'debug',
    text: 'Another instance did not hand out its configuration; the next one is asked.',
    action: 'None.',
  },
  unconfirmed: {
    id: 651,
    name: 'configuration-unconfirmed',
    level: 'warn',
    text: 'No instance that was there before could be asked; a newer version may have been in force than the configuration service gave.',
    action:
      'Compare the version with the last one published; if it is lower, publish again under a higher number.',
  },
  confirmed: {
    id: 652,
    name: 'configuration-confirmed',
    level: 'info',
    text: 'The version in force is at least what an instance that was there before had.',
    action: 'None.',
  },
  watchersSilent: {
    id: 653,
    name: 'configuration-watchers-silent',
    level: 'warn',
    text: 'A look of its own showed this instance a version that no other instance had told it of.',
    action: 'Look at the links between the instances of this failure domain and at its watchers.',
  },
  watchStarted: {
    id: 654,
    name: 'configuration-watch-started',
    level: 'info',
    text: 'This instance now watches the configuration service for its failure domain.',
    action: 'None.',
  },
  watchEnded: {
    id: 655,
    name: 'configuration-watch-ended',
    level: 'info',
    text: 'Other instances of the failure domain watch the configuration service; this one learns from them.',
    action: 'None.',
  },
  serviceUnavailable: {
    id: 656,
    name: 'configuration-service-silent',
    level: 'warn',
    text: 'The configuration service did not answer; the version in force stays and peers are followed.',
    action: 'Look at the configuration service; requests go on meanwhile.',
  },
} as const satisfies Record<string, EventDefinition>;
