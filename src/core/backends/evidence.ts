import type { Evidence, LossCause } from '../outcomes';

/** What the failure of a send to a backend server proves. */

/** Errors of making a connection, for the system call that makes one. */
const CONNECT_CODES = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ETIMEDOUT',
]);

function textOf(error: unknown, field: 'code' | 'syscall' | 'name'): string {
  if (typeof error !== 'object' || error === null || !(field in error)) return '';
  return String((error as Record<typeof field, unknown>)[field]);
}

/**
 * Whether the connection was never made, so that no byte can have left. The code alone does not tell: a
 * connection in use reports `EHOSTUNREACH` or `ETIMEDOUT` too when a router on the way gives up, long after
 * the request has left.
 */
function neverConnected(error: unknown): boolean {
  const code = textOf(error, 'code');
  if (code === 'UND_ERR_CONNECT_TIMEOUT') return true;
  return textOf(error, 'syscall') === 'connect' && CONNECT_CODES.has(code);
}

function lossCause(error: unknown): LossCause {
  switch (textOf(error, 'code')) {
    case 'UND_ERR_HEADERS_TIMEOUT':
      return 'timeout';
    case 'UND_ERR_BODY_TIMEOUT':
      return 'silence';
    case 'UND_ERR_ABORTED':
      return 'aborted';
    default:
      break;
  }
  const name = textOf(error, 'name');
  if (name === 'AbortError') return 'aborted';
  return name.startsWith('HTTPParser') ? 'malformed' : 'reset';
}

/** The evidence where bytes are known to have left. */
export function evidenceAfterSending(error: unknown): Evidence {
  return { kind: 'lostAfterSending', cause: lossCause(error) };
}

/** The evidence in an error of the HTTP client. */
export function evidenceOfFailure(error: unknown): Evidence {
  return neverConnected(error) ? { kind: 'neverSent' } : evidenceAfterSending(error);
}
