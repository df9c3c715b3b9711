import type { ServerObservation } from './types';

/** Header by which a server says, on any answer, that it takes no new work: `x-server-state: draining`. */
export const STATE_HEADER = 'x-server-state';
/** Header by which a server may tell one start of itself from another; any text that changes with each start. */
export const INCARNATION_HEADER = 'x-server-incarnation';

/** Status by which a health check says the same as the header does. */
const TAKES_NO_WORK_STATUS = 503;

/** Headers as undici has them. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

function textOf(headers: AnswerHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** What the answer to a health check says. Any answer below 500 shows a process that serves. */
export function classifyHealthAnswer(status: number, headers: AnswerHeaders): ServerObservation {
  const incarnation = textOf(headers, INCARNATION_HEADER);
  if (status === TAKES_NO_WORK_STATUS || textOf(headers, STATE_HEADER) === 'draining') {
    return { kind: 'draining', incarnation };
  }
  if (status >= 500) return { kind: 'failed', reason: `status ${status}` };
  return { kind: 'healthy', incarnation };
}
