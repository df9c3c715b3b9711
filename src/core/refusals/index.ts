/** What callers are told when they get no answer. */
export { REFUSALS, refusalBySlug } from './catalogue';
export type { RefusalDefinition } from './catalogue';
export { PROBLEM_MEDIA_TYPE, PROBLEM_TYPE_PREFIX, retryAfterSeconds, toProblem } from './problem';
export type { Problem } from './problem';
export { RefusalError } from './refusal-error';
export type { RefusalCase, RefusalEntry, RefusalTicket } from './refusal-error';
