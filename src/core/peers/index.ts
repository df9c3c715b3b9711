/** Calls between instances, over gRPC. */
export { channelCredentials, secretMetadata, serverCredentials } from './credentials';
export { createExchangeTransport } from './exchange';
export { createConfigurationAsker, toWireAnswer } from './fetch-configuration';
export { fromWireMessage, toWireMessage } from './exchange-messages';
export { createForwardLedger } from './forward-ledger';
export type { AttemptGuard, AttemptId, ForwardLedger } from './forward-ledger';
export { attemptIdOf } from './forward-message';
export { createPeerForwarder } from './forward';
export { createForwardTransport } from './forward-transport';
export type { ForwardCall, ForwardTransport } from './forward-transport';
export type { ForwardTarget, PeerForwarder } from './forward';
export { createPeerConnections } from './peer-connections';
export type { PeerConnections } from './peer-connections';
export { createForwardEventSink, toRefusalEvent } from './peer-sink';
export type { EventWriter } from './peer-sink';
export { openPeerServer } from './peer-server';
export type { PeerHandlers, PeerServer } from './peer-server';
