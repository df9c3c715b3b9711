/** Bounds the waits of less urgent requests while more urgent ones of the same service arrive. */
export { createPriorityAdmission } from './create-priority-admission';
export type { PriorityAdmission, RequestKind } from './types';
