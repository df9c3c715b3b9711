/** Internal calls between the processes of a deployment, separate from the requests of callers. */
export { handleCall } from './handle-call';
export { createCallClient, openCallClient } from './create-call-client';
export { CALL_EVENTS } from './events';
export { openCallListener } from './open-call-listener';
export { readBody, statedBodyBytes } from './read-body';
export type { BodyResult } from './read-body';
export type { CallListener } from './open-call-listener';
export type {
  CallAnswer,
  CallHandler,
  CallHandlers,
  CallClient,
  IncomingCall,
  OutgoingCall,
} from './types';
