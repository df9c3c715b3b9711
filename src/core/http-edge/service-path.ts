import type { Service } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import { hasNonRepeatableCalls, isUnclearPath } from '../tickets';

const SERVICE_PATH = /^\/services\/([^/?]+)(.*)$/s;

function malformed(detail: string): RefusalError {
  return new RefusalError(REFUSALS.malformedRequest, {
    detail,
    step: 'read-path',
    evidence: { kind: 'neverSent' },
  });
}

/**
 * Path and query within the service, taken from the request line as it came.
 *
 * The service's name must stand there unescaped: were the length of the decoded name cut off an escaped one,
 * the rest would be another path than the one that the rules for non-repeatable calls were held against.
 */
export function pathWithinService(url: string, service: Service): string {
  const [, name, rest] = SERVICE_PATH.exec(url) ?? [];
  if (name !== service.name) throw malformed('Write the name of the service without escapes.');
  const path = rest === undefined || rest === '' || rest.startsWith('?') ? `/${rest ?? ''}` : rest;
  if (hasNonRepeatableCalls(service) && isUnclearPath(path)) {
    throw malformed(
      'Write the path in its plain form: no empty or dot segments, no escaped separators, no ";" or "#".',
    );
  }
  return path;
}
