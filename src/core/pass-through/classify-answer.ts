import type { AnswerHead } from '../exchanges';
import type { HeaderDialect } from './types';

/** Classification of an answer by its head. */
export type AnswerClassification =
  /** The server ran the request; the answer is passed on. */
  | { readonly kind: 'ran'; readonly isFailure: boolean }
  /**
   * The server states that it has not run the request; `isReplaced` if it is not the addressed
   * server.
   */
  | { readonly kind: 'notRun'; readonly isReplaced: boolean }
  /** Not an answer to this request, or one that must not be passed on. */
  | { readonly kind: 'wrong'; readonly reason: string };

/** Status of an answer from a server that is not the addressed one. */
export const MISDIRECTED_STATUS = 421;

/** Returns the value of a header; the first one if it occurs several times. */
export function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Classifies an answer by its head.
 *
 * A server may send a late second answer to a request when the answer to the next one is due; the
 * request id reveals it. A failing server may send bytes that look like a success, but they lack
 * the signature header, which servers add only to answers of requests that they ran.
 */
export function classifyAnswer(
  { status, headers }: AnswerHead,
  requestId: string,
  dialect: HeaderDialect,
): AnswerClassification {
  const isReplaced = status === MISDIRECTED_STATUS;
  if (headers[dialect.notRun] !== undefined || isReplaced) return { kind: 'notRun', isReplaced };
  const echoedId = headerText(headers[dialect.requestId]);
  if (echoedId !== undefined && echoedId !== requestId) {
    return { kind: 'wrong', reason: 'the answer belongs to another request' };
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && echoedId === undefined) {
    return { kind: 'wrong', reason: 'the answer has no request id' };
  }
  if (isSuccess && headers[dialect.signature] === undefined) {
    return { kind: 'wrong', reason: 'the answer has no signature' };
  }
  if (isSuccess && headers['content-encoding'] !== undefined) {
    return { kind: 'wrong', reason: 'the body has a content encoding that was not requested' };
  }
  return { kind: 'ran', isFailure: status >= 500 };
}
