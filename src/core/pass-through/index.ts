/** Passes requests through to backend servers unchanged, here or in another region. */
export { createRouter } from './create-router';
export type { ForwardPeer, Router } from './create-router';
export { PASS_THROUGH_EVENTS } from './events';
export { openIngress } from './open-ingress';
export type { Ingress } from './open-ingress';
export type { ServeDependencies, ServedRequest } from './serve-request';
export type { HeaderDialect } from './types';
