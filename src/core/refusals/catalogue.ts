/** One kind of refusal, stable for callers. */
export interface RefusalDefinition {
  /** Last part of the problem's `type`. */
  readonly slug: string;
  readonly status: number;
  readonly title: string;
  /** What the caller does about it. */
  readonly hint: string;
}

/** Every refusal that a caller can meet. Outcome, step and peer belong to the case, not to the kind. */
export const REFUSALS = {
  malformedRequest: {
    slug: 'malformed-request',
    status: 400,
    title: 'The request cannot be read',
    hint: 'Correct what the detail names; sending the same again is of no use.',
  },
  unauthenticated: {
    slug: 'unauthenticated',
    status: 401,
    title: 'No valid key was given',
    hint: 'Send "Authorization: Bearer KEY" with a key that the operators have issued.',
  },
  unknownPath: {
    slug: 'unknown-path',
    status: 404,
    title: 'There is nothing at this path',
    hint: 'See the paths in the documentation for callers.',
  },
  unknownService: {
    slug: 'unknown-service',
    status: 404,
    title: 'No such service or model',
    hint: 'GET /v1/models lists the models.',
  },
  bodyTooLarge: {
    slug: 'body-too-large',
    status: 413,
    title: 'The body is too large',
    hint: 'Send less; the detail states the limit.',
  },
  headersTooLarge: {
    slug: 'headers-too-large',
    status: 431,
    title: 'The header section is too large',
    hint: 'Send fewer or shorter headers.',
  },
  requestTooSlow: {
    slug: 'request-too-slow',
    status: 408,
    title: 'The request came too slowly',
    hint: 'Send the whole request at once, on a new connection.',
  },
  regionNotAllowed: {
    slug: 'region-not-allowed',
    status: 421,
    title: 'This data may not be handled in this region',
    hint: 'Use one of the entries named in the answer.',
  },
  ticketRequired: {
    slug: 'ticket-required',
    status: 428,
    title: 'This call runs at most once and needs a ticket',
    hint: 'Send the same call again with the header "idempotency-ticket" and the ticket of this answer.',
  },
  ticketExpired: {
    slug: 'ticket-expired',
    status: 410,
    title: 'The ticket has expired',
    hint: 'If the outcome is notRun, send the call again with the ticket of this answer; else look whether it ran.',
  },
  ticketNotKnown: {
    slug: 'ticket-not-known',
    status: 409,
    title: 'No instance can say what became of this ticket',
    hint: 'Look in the application whether the call ran before you place it again with another ticket.',
  },
  ticketMismatch: {
    slug: 'ticket-mismatch',
    status: 422,
    title: 'The ticket belongs to another call',
    hint: 'Present a ticket only with the call, body and key that it was first used with.',
  },
  answerNotHeld: {
    slug: 'answer-not-held',
    status: 409,
    title: 'The call ran, but its answer is no longer held',
    hint: 'Do not place it again; look up its result in the application.',
  },
  callerGone: {
    slug: 'caller-gone',
    status: 409,
    title: 'The call was given up before it was sent, since its caller had gone',
    hint: 'Send it again with the ticket of this answer.',
  },
  serverRefused: {
    slug: 'server-refused',
    status: 503,
    title: 'The server refused the call and vouches that it did not run',
    hint: 'Try again later.',
  },
  poisonRequest: {
    slug: 'poison-request',
    status: 422,
    title: 'Servers crash when they run this request',
    hint: 'Do not send it again before retryAtUnixMs; tell the operators the requestId.',
  },
  rateLimited: {
    slug: 'rate-limited',
    status: 429,
    title: 'The account has reached its limit',
    hint: 'Send it again at retryAtUnixMs; nothing of it ran.',
  },
  noServer: {
    slug: 'no-server',
    status: 503,
    title: 'No server can take the request now',
    hint: 'Try again at retryAtUnixMs.',
  },
  overloaded: {
    slug: 'overloaded',
    status: 503,
    title: 'The system is full',
    hint: 'Try again at retryAtUnixMs.',
  },
  notReady: {
    slug: 'not-ready',
    status: 503,
    title: 'This instance has no configuration yet or is stopping',
    hint: 'Use another entry.',
  },
  deadlineExceeded: {
    slug: 'deadline-exceeded',
    status: 504,
    title: 'The deadline passed',
    hint: 'Look at the outcome before sending again.',
  },
  serverFailed: {
    slug: 'server-failed',
    status: 502,
    title: 'The server that had the request gave no whole answer',
    hint: 'Look at the outcome before sending again.',
  },
  peerFailed: {
    slug: 'peer-failed',
    status: 502,
    title: 'The instance that had the request gave no whole answer',
    hint: 'Look at the outcome before sending again.',
  },
  internalFault: {
    slug: 'internal-fault',
    status: 500,
    title: 'The gateway itself failed',
    hint: 'Look at the outcome, and tell the operators the requestId.',
  },
} as const satisfies Record<string, RefusalDefinition>;

/** The refusal with this slug, as a message from another instance names it. */
export function refusalBySlug(slug: string): RefusalDefinition | undefined {
  return Object.values(REFUSALS).find((definition) => definition.slug === slug);
}
