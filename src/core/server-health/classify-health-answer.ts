import type { ServerObservation } from './types';

/** Header on any answer of a server; `x-server-state: draining` reports that it accepts no new work. */
export const STATE_HEADER = 'x-server-state';
/** Optional header with the incarnation of a server: any text that changes with each start. */
export const INCARNATION_HEADER = 'x-server-incarnation';

/** Status of a health check that means the same as `x-server-state: draining`. */
const DRAINING_STATUS = 503;

/** Headers in the form that undici returns. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

function firstHeaderValue(headers: AnswerHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Classifies the answer to a health check. Any status below 500 shows that the process serves requests. */
export function classifyHealthAnswer(status: number, headers: AnswerHeaders): ServerObservation {
  const incarnation = firstHeaderValue(headers, INCARNATION_HEADER);
  if (status === DRAINING_STATUS || firstHeaderValue(headers, STATE_HEADER) === 'draining') {
    return { kind: 'draining', incarnation };
  }
  if (status >= 500) return { kind: 'failed', reason: `status ${status}` };
  return { kind: 'healthy', incarnation };
}
