/** HTTP exchanges with backend servers and other instances, each with evidence of how it ended. */
export { createConnectionPool } from './connection-pool';
export type { ConnectionPool, SendOptions } from './connection-pool';
export { REST_WAIT_MS, sendIgnoringAnswer } from './send-ignoring-answer';
export { isCloseDelimited } from './connection';
export type {
  AnswerHead,
  AnswerListener,
  Exchange,
  ExchangeEnd,
  HeaderMap,
  OutgoingParts,
  OutgoingRequest,
} from './types';
