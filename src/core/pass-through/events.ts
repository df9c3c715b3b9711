import type { EventDefinition } from '../events';

/** Events of requests that are passed through to backend servers. */
export const PASS_THROUGH_EVENTS = {
  placed: {
    id: 4101,
    name: 'request-placed',
    level: 'info',
    text: 'A request was sent to a backend server or to another region.',
    action: 'Nothing.',
  },
  attemptFailed: {
    id: 4102,
    name: 'attempt-failed',
    level: 'info',
    text: 'A request was sent and brought no answer that could be passed on.',
    action: 'Look at the backend server where one is named often.',
  },
  answered: {
    id: 4103,
    name: 'answer-passed-on',
    level: 'info',
    text: 'The answer of a backend server was passed on whole.',
    action: 'Nothing.',
  },
  refused: {
    id: 4104,
    name: 'pass-refused',
    level: 'warn',
    text: 'A request was refused.',
    action: 'The reason says why; see the page on operating.',
  },
  brokenOff: {
    id: 4105,
    name: 'answer-broken-off',
    level: 'warn',
    text: 'An answer that had begun could not be finished; its connection was closed.',
    action: 'Look at the attempts of the same request that failed before.',
  },
  callerGone: {
    id: 4106,
    name: 'passed-caller-gone',
    level: 'info',
    text: 'A caller left before its answer was whole; the work was given up.',
    action: 'Nothing.',
  },
} as const satisfies Record<string, EventDefinition>;
