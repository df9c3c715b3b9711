import type { IncomingMessage } from 'node:http';
import { REFUSALS, RefusalError } from '../refusals';

/** Reads a whole body, refusing one that is too large before it is held in memory. */
export async function readBody(incoming: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const tooLarge = () =>
    new RefusalError(REFUSALS.bodyTooLarge, {
      detail: `The limit is ${limitBytes} bytes.`,
      step: 'read-body',
      evidence: { kind: 'neverSent' },
    });
  if (Number(incoming.headers['content-length'] ?? 0) > limitBytes) throw tooLarge();

  const chunks: Buffer[] = [];
  let bodyBytes = 0;
  for await (const chunk of incoming) {
    bodyBytes += (chunk as Buffer).length;
    if (bodyBytes > limitBytes) throw tooLarge();
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks, bodyBytes);
}
