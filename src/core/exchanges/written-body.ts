import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { OutgoingParts, OutgoingRequest } from './types';

/** Headers and body as the HTTP client takes them. */
export interface WrittenBody {
  readonly headers: string[];
  readonly body: NonNullable<Dispatcher.DispatchOptions['body']> | null;
}

/** Yields the parts, and keeps none that has been written. */
function* takeParts({ parts }: OutgoingParts): Generator<Uint8Array> {
  const left = [...parts()].reverse();
  for (let part = left.pop(); part !== undefined; part = left.pop()) yield part;
}

/**
 * Returns what the HTTP client writes. It refers to a body until the answer has ended, so that one in parts is handed over part by
 * part; its length is stated then.
 */
export function writtenBody(
  headers: readonly string[],
  body: OutgoingRequest['body'],
): WrittenBody {
  if (body.length === 0) return { headers: [...headers], body: null };
  if (body instanceof Uint8Array) return { headers: [...headers], body };
  return {
    headers: [...headers, 'content-length', String(body.length)],
    // The client takes any iterable, although its types name none.
    body: takeParts(body) as unknown as Readable,
  };
}
