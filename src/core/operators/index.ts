/** What operators read from a running instance. Nothing can be changed here. */
export { openOperatorListener } from './open-operator-listener';
export type { OperatorListener, OperatorListenerOptions } from './open-operator-listener';
export type { InstanceStatus } from './types';
