import type { AnswerHead } from '../exchanges';
import type { HeaderDialect } from './types';

/** What the head of an answer shows. */
export type AnswerVerdict =
  /** The answer of a server that ran the request; it is passed on. */
  | { readonly kind: 'ran'; readonly isFailure: boolean }
  /** The server says that it has not run the request; `isReplaced` where it is not the one that was asked for. */
  | { readonly kind: 'notRun'; readonly isReplaced: boolean }
  /** No answer to this request, or none that may be passed on. */
  | { readonly kind: 'wrong'; readonly reason: string };

/** Status of a server that is not the one that was asked for. */
export const MISDIRECTED = 421;

/** The value of a header that comes once. */
export function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Judges an answer by its head.
 *
 * A server may send a second answer to a request, late, where the answer to the next is due; its id tells. One
 * that fails may send bytes that look like a success, which lack the signature of a run.
 */
export function judgeAnswer(
  { status, headers }: AnswerHead,
  requestId: string,
  dialect: HeaderDialect,
): AnswerVerdict {
  const isReplaced = status === MISDIRECTED;
  if (headers[dialect.notRun] !== undefined || isReplaced) return { kind: 'notRun', isReplaced };
  const answeredId = headerText(headers[dialect.requestId]);
  if (answeredId !== undefined && answeredId !== requestId) {
    return { kind: 'wrong', reason: 'the answer belongs to another request' };
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && answeredId === undefined) {
    return { kind: 'wrong', reason: 'the answer names no request' };
  }
  if (isSuccess && headers[dialect.signature] === undefined) {
    return { kind: 'wrong', reason: 'the answer bears no signature' };
  }
  if (isSuccess && headers['content-encoding'] !== undefined) {
    return { kind: 'wrong', reason: 'the body is encoded, which was not asked for' };
  }
  return { kind: 'ran', isFailure: status >= 500 };
}
