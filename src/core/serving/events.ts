import type { EventDefinition } from '../events';

/** Events 400 to 499: requests in work. */
export const SERVING_EVENTS = {
  answered: {
    id: 400,
    name: 'request-answered',
    level: 'info',
    text: 'A request was answered.',
    action: 'None.',
  },
  refused: {
    id: 401,
    name: 'request-refused',
    level: 'info',
    text: 'A request was refused.',
    action: 'Look at the refusal; a rise in one kind points to its cause.',
  },
  answerCutShort: {
    id: 402,
    name: 'answer-cut-short',
    level: 'warn',
    text: 'An answer could not be finished; its connection was closed so that nobody takes it for whole.',
    action: 'Look at the server or peer named.',
  },
  callerGone: {
    id: 403,
    name: 'caller-gone',
    level: 'info',
    text: 'The caller closed its connection before the end; the work was cancelled.',
    action: 'None.',
  },
  fault: {
    id: 404,
    name: 'internal-fault',
    level: 'error',
    text: 'The gateway itself failed on a request.',
    action: 'Report it with the request id and the lines around it.',
  },
} as const satisfies Record<string, EventDefinition>;
