import type { Header } from '../serving/types';

/** Watches whether an answer comes whole. Half a cutting list that passes for a whole one costs a day's work. */
export interface LengthCheck {
  /** Says what is wrong with the chunk's coming now, if anything. */
  addChunk(bytes: number): string | undefined;
  /** Says what is missing at the end, if anything. */
  atEnd(): string | undefined;
  readonly bodyBytes: number;
}

/** Statuses without a body whatever their headers say (RFC 9110, section 6.4.1). */
const BODILESS_STATUSES = new Set([204, 304]);

/** The length that the headers state; undefined where they state none. */
function statedLength(headers: readonly Header[]): number | undefined {
  const value = headers.find(({ name }) => name.toLowerCase() === 'content-length')?.value;
  if (value === undefined) return undefined;
  return /^\d+$/.test(value) ? Number(value) : Number.NaN;
}

/** The check for one answer. */
export function createLengthCheck(
  method: string,
  status: number,
  headers: readonly Header[],
): LengthCheck {
  const hasNoBody = method === 'HEAD' || BODILESS_STATUSES.has(status);
  const expected = hasNoBody ? 0 : statedLength(headers);
  let bodyBytes = 0;
  return {
    get bodyBytes() {
      return bodyBytes;
    },
    addChunk(bytes) {
      bodyBytes += bytes;
      if (expected === undefined || bodyBytes <= expected) return undefined;
      return `The answer has more than the ${expected} bytes that it states.`;
    },
    atEnd() {
      if (expected === undefined || bodyBytes === expected) return undefined;
      return `The answer ended after ${bodyBytes} of ${expected} bytes.`;
    },
  };
}
