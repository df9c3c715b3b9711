import type { IncomingMessage, ServerResponse } from 'node:http';
import { REFUSALS, RefusalError } from '../refusals';

/** The parts of an exchange that reading its body needs. */
export interface BodySource {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly expectsContinue: boolean;
}

/** Reads a whole body, asking for it where the caller waits to be asked, and refusing one that is too large before it is held in memory. */
export async function readBody(
  { incoming, response, expectsContinue }: BodySource,
  limitBytes: number,
): Promise<Buffer> {
  const tooLarge = () =>
    new RefusalError(REFUSALS.bodyTooLarge, {
      detail: `The limit is ${limitBytes} bytes.`,
      step: 'read-body',
      evidence: { kind: 'neverSent' },
    });
  if (Number(incoming.headers['content-length'] ?? 0) > limitBytes) throw tooLarge();
  if (expectsContinue) response.writeContinue();

  const chunks: Buffer[] = [];
  let bodyBytes = 0;
  for await (const chunk of incoming) {
    bodyBytes += (chunk as Buffer).length;
    if (bodyBytes > limitBytes) throw tooLarge();
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks, bodyBytes);
}
