import type { Service } from '../configuration';
import { isNonRepeatable } from '../tickets';

/** The parts of a request that determine whether it may run twice. */
export interface RepeatableInput {
  readonly service: Service;
  readonly method: string;
  readonly path: string;
}

/** Methods that are idempotent by RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

/**
 * Returns whether a request may run more than once.
 *
 * Model requests may, since computing an answer changes no state. Requests to a plain service may if their
 * method is idempotent and the configuration does not list them as non-repeatable. A POST never may, listed or
 * not: otherwise an operator who forgot a rule would find out through a duplicated order.
 */
export function isRepeatable({ service, method, path }: RepeatableInput): boolean {
  switch (service.kind) {
    case 'model':
      return true;
    case 'plain':
      return IDEMPOTENT_METHODS.has(method) && !isNonRepeatable(service, method, path);
    default:
      return service satisfies never;
  }
}
