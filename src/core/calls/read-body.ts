import type { IncomingMessage } from 'node:http';
import { createHeldBytes } from '../held-bytes';

/** Result of reading a body. */
export type BodyResult =
  /** The body in parts, each in a buffer of its own. */
  | { readonly kind: 'whole'; readonly parts: readonly Buffer[] }
  | { readonly kind: 'tooLarge' }
  /** What has arrived can't be held. */
  | { readonly kind: 'noRoom'; readonly retryAfterMs: number | undefined }
  | { readonly kind: 'gone' };

/** Limits of a body that is read. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Asked for room before `bytes` of the body are held; returns why there is none, undefined if there is. */
  readonly takeRoom?:
    ((bytes: number) => { readonly retryAfterMs: number | undefined } | undefined) | undefined;
}

/** Returns the length that the headers state, bytes: 0 without a body, and undefined if only its end will show it. */
export function statedBodyBytes({ headers }: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Reads the complete body, so that it can be sent again, and so that no server waits for a slow caller. */
export function readBody(
  incoming: IncomingMessage,
  { maxBytes, takeRoom }: BodyLimits,
  onResult: (result: BodyResult) => void,
): void {
  const statedBytes = statedBodyBytes(incoming);
  if (statedBytes === 0) {
    onResult({ kind: 'whole', parts: [] });
    return;
  }
  if (statedBytes !== undefined && statedBytes > maxBytes) {
    onResult({ kind: 'tooLarge' });
    return;
  }
  const held = createHeldBytes();
  let isSettled = false;
  const settle = (result: BodyResult): void => {
    if (isSettled) return;
    isSettled = true;
    held.takeParts();
    onResult(result);
  };
  incoming.on('data', (chunk: Buffer) => {
    if (isSettled) return;
    const bytes = held.length + chunk.length;
    if (bytes > maxBytes) {
      settle({ kind: 'tooLarge' });
      return;
    }
    const denied = takeRoom?.(bytes);
    if (denied === undefined) held.add(chunk);
    else settle({ kind: 'noRoom', retryAfterMs: denied.retryAfterMs });
  });
  incoming.on('end', () => settle({ kind: 'whole', parts: held.takeParts() }));
  incoming.on('close', () => settle({ kind: 'gone' }));
  incoming.on('error', () => settle({ kind: 'gone' }));
}
