import type { Service } from '../configuration';
import { isNonRepeatable } from '../tickets';

/** The parts of a request that tell whether it may run twice. */
export interface RepeatableInput {
  readonly service: Service;
  readonly method: string;
  readonly path: string;
}

/** Methods that are idempotent by RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

/**
 * Whether a request may run more than once.
 *
 * Answers of a model change nothing, so model requests may. Of a plain service, idempotent methods may
 * unless the configuration lists them. A POST may not, listed or not: an operator who forgot a rule would
 * otherwise learn of it from a doubled order.
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
