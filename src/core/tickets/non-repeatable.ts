import type { Service } from '../configuration';

/**
 * Which calls must run at most once, and so need a ticket.
 *
 * Applications read paths in different ways: some decode percent signs twice, merge slashes, resolve dots or
 * ignore case. A caller whose `/Orders//place` slips past the rule for `/orders` would have a non-repeatable
 * call retried. So a rule matches whatever any common application may take for its path, and a path that can
 * be read in several ways is not passed on to a service with rules at all.
 */

const DECODE_ROUNDS = 3;

/** Dot segments, empty segments, path parameters, fragments, controls, and encodings that hide any of them. */
const UNCLEAR = /\/\/|\/\.{1,2}(?:\/|$)|[\\;#]|%(?:2e|2f|5c|25|3b|23|3f|[01][0-9a-f]|7f)/i;
// eslint-disable-next-line no-control-regex -- control characters are what it looks for
const CONTROL = /[\u0000-\u0020\u007f]/;

function withoutQuery(path: string): string {
  return path.split('?', 1)[0] ?? '';
}

/** Whether different applications may read this path differently. */
export function isUnclearPath(path: string): boolean {
  const bare = withoutQuery(path);
  if (!bare.startsWith('/') || UNCLEAR.test(bare) || CONTROL.test(bare)) return true;
  try {
    decodeURIComponent(bare);
    return false;
  } catch {
    return true;
  }
}

function decodeOnce(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}

/** The path in the one form in which rules are compared. */
function comparable(path: string): string {
  let text = withoutQuery(path);
  for (let round = 0; round < DECODE_ROUNDS; round += 1) text = decodeOnce(text);
  const segments: string[] = [];
  for (const part of text.replaceAll('\\', '/').split('/')) {
    const segment = part.split(';', 1)[0] ?? '';
    if (segment === '' || segment === '.') continue;
    if (segment === '..') segments.pop();
    else segments.push(segment);
  }
  return `/${segments.join('/')}`.normalize('NFKC').toLowerCase();
}

/** Whether this call to this service must run at most once. */
export function isNonRepeatable(service: Service, method: string, path: string): boolean {
  if (service.kind !== 'plain') return false;
  const upperMethod = method.toUpperCase();
  return service.nonRepeatable.some(
    (rule) =>
      rule.method === upperMethod && comparable(path).startsWith(comparable(rule.pathPrefix)),
  );
}

/** Whether the service has rules, so that its paths must be clear. */
export function hasNonRepeatableCalls(service: Service): boolean {
  return service.kind === 'plain' && service.nonRepeatable.length > 0;
}

/** Headers by which some applications let a call name another method than its own. */
export const METHOD_OVERRIDE_HEADERS: ReadonlySet<string> = new Set([
  'x-http-method',
  'x-http-method-override',
  'x-method-override',
]);
