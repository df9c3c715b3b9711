import { createHmac } from 'node:crypto';

/** The parts of a request by which it is known again. */
export interface FingerprintInput {
  readonly service: { readonly name: string };
  readonly caller: { readonly id: string };
  readonly method: string;
  readonly path: string;
  /** The body, as a whole or in parts. */
  readonly body: Uint8Array | readonly Uint8Array[];
  /** The body as the caller sent it, where `body` has been written anew. */
  readonly askedBody?: Uint8Array;
  /** The digest, if it was taken before the body was let go. */
  readonly knownFingerprint?: string | undefined;
}

const KEY_PURPOSE = 'coltsfootworks poison request fingerprint';
const LENGTH_BYTES = 4;

/** The key of fingerprints, the same on every instance of a deployment and of no use for anything else. */
export function fingerprintKey(peerSecret: string): Uint8Array {
  return createHmac('sha256', peerSecret).update(KEY_PURPOSE).digest();
}

/**
 * A digest by which the same request of the same caller is known again. It is keyed, so that whoever reads it
 * in a log cannot find a content by trying likely ones. Each part goes in after its length: without that, two
 * requests that share out the same characters differently would have one fingerprint.
 */
export function fingerprintOf(request: FingerprintInput, key: Uint8Array): string {
  if (request.knownFingerprint !== undefined) return request.knownFingerprint;
  const hmac = createHmac('sha256', key);
  const names = [request.service.name, request.caller.id, request.method, request.path];
  const body = request.askedBody ?? request.body;
  const bodyParts = body instanceof Uint8Array ? [body] : body;
  for (const parts of [...names.map((name) => [Buffer.from(name)]), bodyParts]) {
    const lengthBytes = Buffer.alloc(LENGTH_BYTES);
    lengthBytes.writeUInt32BE(parts.reduce((sum, { length }) => sum + length, 0));
    hmac.update(lengthBytes);
    for (const part of parts) hmac.update(part);
  }
  return hmac.digest('base64url');
}
