import { createHash } from 'node:crypto';
import type { GatewayRequest } from '../serving/types';

/** Headers that change what a call asks for; the others may differ from one presentation to the next. */
const MEANING_HEADERS = new Set(['content-type', 'content-encoding']);

/** A digest of what a call asks for, by which a ticket presented with another call is noticed. */
export function digestOfCall({ method, path, headers, body }: GatewayRequest): string {
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  for (const { name, value } of headers) {
    if (MEANING_HEADERS.has(name)) hash.update(`${name}: ${value}\n`);
  }
  return hash.update('\n').update(body).digest('base64url');
}
