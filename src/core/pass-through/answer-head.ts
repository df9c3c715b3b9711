import type { AnswerHead } from '../exchanges';
import { headerText } from './classify-answer';
import type { SendableDestination } from './destinations';
import { ATTEMPTS_HEADER, STREAM_VERSION_HEADER } from './forwarding';
import type { RequestPlan } from './types';

/** Returns whether an answer is the event stream that a request asked for. */
export function isEventStream({ kind }: RequestPlan, { status, headers }: AnswerHead): boolean {
  const type = headerText(headers['content-type']) ?? '';
  return kind === 'stream' && status === 200 && type.startsWith('text/event-stream');
}

/**
 * Returns how many backend servers another instance reports to have sent a request to; undefined if
 * it does not report that.
 */
export function readServersTried({ headers }: AnswerHead): number | undefined {
  const text = headerText(headers[ATTEMPTS_HEADER]);
  const count = Number(text);
  return text === undefined || !Number.isInteger(count) || count < 0 ? undefined : count;
}

/** Returns the software version of the server that writes an answer; undefined if another instance does not state it. */
export function versionOfWriter(
  to: SendableDestination,
  { headers }: AnswerHead,
): string | undefined {
  if (to.kind === 'server') return to.server.softwareVersion;
  return headerText(headers[STREAM_VERSION_HEADER]);
}
