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
    text: 'An attempt ended without an answer that could be passed on.',
    action: 'Check any backend server that appears often.',
  },
  answered: {
    id: 4103,
    name: 'answer-passed-on',
    level: 'info',
    text: 'The complete answer of a backend server was passed on.',
    action: 'Nothing.',
  },
  refused: {
    id: 4104,
    name: 'pass-refused',
    level: 'warn',
    text: 'A request was refused.',
    action: 'Check the reason, and see the page on operating.',
  },
  brokenOff: {
    id: 4105,
    name: 'answer-broken-off',
    level: 'warn',
    text: 'An answer could not be completed after it had begun; its connection was closed.',
    action: 'Check the failed attempts of the same request.',
  },
  callerGone: {
    id: 4106,
    name: 'passed-caller-gone',
    level: 'info',
    text: 'A caller left before its answer was complete; its request was cancelled.',
    action: 'Nothing.',
  },
  attemptDiscarded: {
    id: 4107,
    name: 'attempt-discarded',
    level: 'info',
    text: 'An attempt was ended because another attempt of its request had begun to answer.',
    action: 'Check any backend server that appears often with the cause silence.',
  },
  unanswered: {
    id: 4108,
    name: 'request-unanswered',
    level: 'warn',
    text: 'A request that was read whole ended without a complete answer or a refusal.',
    action:
      'Check the other events of the request. With the cause closedHere, this instance closed the connection; with overdue, the caller left after its answer was due.',
  },
  endlessAnswer: {
    id: 4109,
    name: 'endless-answer',
    level: 'warn',
    text: 'A backend server sent bytes without end that are no answer; their connection was closed.',
    action: 'Check the backend server.',
  },
} as const satisfies Record<string, EventDefinition>;
