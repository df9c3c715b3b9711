/** Failures that operators read: one catalogue behind one error class. */
export { ERRORS } from './catalogue';
export { GatewayError, errorText, gatewayError } from './gateway-error';
export type { ErrorDefinition, ErrorPlace } from './types';
