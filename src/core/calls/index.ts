/** Internal calls between the processes of a deployment, separate from the requests of callers. */
export { answerCall } from './answer-call';
export { createCaller, openCaller } from './create-caller';
export { CALL_EVENTS } from './events';
export { openCallListener } from './open-call-listener';
export { readBody } from './read-body';
export type { BodyResult } from './read-body';
export type { CallListener } from './open-call-listener';
export type {
  CallAnswer,
  CallHandler,
  CallHandlers,
  Caller,
  IncomingCall,
  OutgoingCall,
} from './types';
