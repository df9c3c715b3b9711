import type { HeaderMap } from '../exchanges';

/** Hop-by-hop headers, which are not passed on (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Returns whether a header is passed on between a server and a caller. */
export function isEndToEndHeader(name: string): boolean {
  return !CONNECTION_HEADERS.has(name.toLowerCase());
}

/** Headers that the HTTP client sets itself, from the body that it is given. */
const WRITTEN_BY_CLIENT = new Set(['content-length', 'expect']);

/** Returns the names that a `Connection` header declares as hop-by-hop. */
function namedByConnection(value: string | undefined): ReadonlySet<string> {
  if (value === undefined || value === 'keep-alive' || value === 'close') return new Set();
  return new Set(value.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * Returns the headers of a request that are passed on to a backend server, as alternating names and
 * values.
 */
export function headersToPassOn(
  rawHeaders: readonly string[],
  connection: string | undefined,
  dropped: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(connection);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    const isDropped =
      CONNECTION_HEADERS.has(lower) ||
      WRITTEN_BY_CLIENT.has(lower) ||
      named.has(lower) ||
      dropped.has(lower);
    if (!isDropped) kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

/** Returns the headers of an answer that are passed on to the caller. */
export function answerHeaders(headers: HeaderMap, dropped: ReadonlySet<string>): HeaderMap {
  const kept: Record<string, string | string[] | undefined> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!CONNECTION_HEADERS.has(name) && !dropped.has(name)) kept[name] = value;
  }
  return kept;
}
