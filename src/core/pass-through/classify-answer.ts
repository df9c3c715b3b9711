import type { AnswerHead } from '../exchanges';
import { ATTEMPTS_HEADER } from './forwarding';
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

/** Maximum length of the id of another request in a log line. */
const MAX_SHOWN_ID_LENGTH = 64;

/** Status of an answer from a server that is not the addressed one. */
export const MISDIRECTED_STATUS = 421;

/**
 * Returns whether an answer of another instance is one to a forwarded request. Instances state with each how many servers have
 * got it; an answer without that is one to something else, such as a call, or of the HTTP parser there.
 */
export function isAnswerOfInstance({ headers }: AnswerHead): boolean {
  return headers[ATTEMPTS_HEADER] !== undefined;
}

/** Returns the value of a header; the first one if it occurs several times. */
export function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Returns why an answer can't be taken for that of the request with the given id; undefined if it can.
 *
 * A server may send a late second answer to a request when the answer to the next one on the connection is due, be it a
 * rejection. Only the request id tells: such an answer states nothing about this request, and nothing about the server now.
 * An answer without an id may be that of an earlier request without one, such as a health check.
 */
export function findForeign(
  { status, headers, mayBeUnidentified }: AnswerHead,
  requestId: string,
  dialect: Pick<HeaderDialect, 'requestId'>,
): string | undefined {
  const echoedIds = [headers[dialect.requestId] ?? []].flat();
  const otherId = echoedIds.find((echoedId) => echoedId !== requestId);
  if (otherId !== undefined) {
    const shownId = JSON.stringify(otherId.slice(0, MAX_SHOWN_ID_LENGTH));
    return `the answer belongs to another request: status ${status}, id ${shownId}`;
  }
  if (echoedIds.length === 0 && mayBeUnidentified === true) {
    return `the answer may belong to an earlier request: status ${status}, no id`;
  }
  return undefined;
}

/**
 * Classifies an answer by its head.
 *
 * A failing server may send bytes that look like a success, but they lack the signature header, which servers add only to
 * answers of requests that they ran.
 */
export function classifyAnswer(
  head: AnswerHead,
  requestId: string,
  dialect: HeaderDialect,
): AnswerClassification {
  const { status, headers } = head;
  const foreign = findForeign(head, requestId, dialect);
  if (foreign !== undefined) return { kind: 'wrong', reason: foreign };
  const isReplaced = status === MISDIRECTED_STATUS;
  if (headers[dialect.notRun] !== undefined || isReplaced) return { kind: 'notRun', isReplaced };
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && headers[dialect.requestId] === undefined) {
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
