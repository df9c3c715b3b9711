/** What backend servers state in their answers about the requests after them. */
export { createServerNotices } from './create-server-notices';
export type { ServerNotices, ServerNoticesOptions } from './create-server-notices';
export { parseRetryAfter } from './parse-retry-after';
export { createRefusals } from './refusals';
export type { Refusals, RefusalStanding } from './refusals';
export type { AnswerNotice, StatedDeparture, StatedPause } from './types';
