import { create } from '@bufbuild/protobuf';
import { Server, status as grpcStatus } from '@grpc/grpc-js';
import type {
  ServerCredentials,
  ServerUnaryCall,
  ServerWritableStream,
  sendUnaryData,
} from '@grpc/grpc-js';
import { CancelResponseSchema } from '../../gen/forward_pb';
import type {
  CancelRequest,
  CancelResponse,
  ForwardEvent,
  ForwardRequest,
} from '../../gen/forward_pb';
import type {
  ExchangeMessage as WireMessage,
  FetchConfigurationRequest,
  FetchConfigurationResponse,
} from '../../gen/membership_pb';
import type { ConfigurationAnswer, ConfigurationRequest } from '../configuration-sync';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { ExchangeMessage } from '../membership';
import type { ResponseSink } from '../serving/types';
import { showsSecret } from './credentials';
import { PEER_SERVICE } from './definition';
import { fromWireMessage, toWireMessage } from './exchange-messages';
import { fromWireRequest, toWireAnswer } from './fetch-configuration';
import { createPeerSink, toRefusalEvent } from './peer-sink';

/** What an instance does when others call it. */
export interface PeerHandlers {
  /** Takes in what a peer knows and returns what is known here. */
  exchange(message: ExchangeMessage): ExchangeMessage;
  /** Hands out the configuration in force here. */
  fetchConfiguration(request: ConfigurationRequest): ConfigurationAnswer;
  /** Gives an attempt up; true if nothing of it was sent and nothing will be. */
  cancel(message: CancelRequest): boolean;
  /** Serves a forwarded request from this region, or throws a `RefusalError`. */
  serveForwarded(message: ForwardRequest, sink: ResponseSink, signal: AbortSignal): Promise<void>;
}

/** The handlers that every instance has, and those of an instance that does all of its duties over gRPC. */
export type OfferedHandlers = Pick<PeerHandlers, 'exchange'> & Partial<PeerHandlers>;

/** What the listener needs. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly credentials: ServerCredentials;
  readonly peerSecret: string;
  /** Calls for which there is no handler are answered as not implemented. */
  readonly handlers: OfferedHandlers;
}

/** The listener for peers. */
export interface PeerServer extends AsyncDisposable {
  readonly port: number;
  /** Takes no new calls, and resolves when the last words of those open have left. */
  drain(): Promise<void>;
}

const UNAUTHENTICATED = {
  code: grpcStatus.UNAUTHENTICATED,
  details: 'the shared secret is missing or wrong',
};

function handleForward(
  { peerSecret }: PeerServerOptions,
  serveForwarded: PeerHandlers['serveForwarded'],
) {
  return async (call: ServerWritableStream<ForwardRequest, ForwardEvent>): Promise<void> => {
    if (!showsSecret(call.metadata, peerSecret)) {
      call.emit('error', UNAUTHENTICATED);
      return;
    }
    const gone = new AbortController();
    call.on('cancelled', () => gone.abort());
    const sink = createPeerSink(call);
    try {
      await serveForwarded(call.request, sink, gone.signal);
    } catch (error) {
      if (sink.headSent) {
        sink.abort(errorText(error));
        return;
      }
      call.write(toRefusalEvent(call.request, error));
      call.end();
    }
  };
}

function handleExchange(options: PeerServerOptions) {
  return (
    call: ServerUnaryCall<WireMessage, WireMessage>,
    respond: sendUnaryData<WireMessage>,
  ): void => {
    if (!showsSecret(call.metadata, options.peerSecret)) {
      respond(UNAUTHENTICATED);
      return;
    }
    const message = fromWireMessage(call.request);
    if (message === undefined) {
      respond({ code: grpcStatus.INVALID_ARGUMENT, details: 'the message names no sender' });
      return;
    }
    respond(null, toWireMessage(options.handlers.exchange(message)));
  };
}

function handleFetchConfiguration(
  { peerSecret }: PeerServerOptions,
  fetchConfiguration: PeerHandlers['fetchConfiguration'],
) {
  return (
    call: ServerUnaryCall<FetchConfigurationRequest, FetchConfigurationResponse>,
    respond: sendUnaryData<FetchConfigurationResponse>,
  ): void => {
    if (!showsSecret(call.metadata, peerSecret)) {
      respond(UNAUTHENTICATED);
      return;
    }
    const answer = fetchConfiguration(fromWireRequest(call.request));
    respond(null, toWireAnswer(answer));
  };
}

function handleCancel({ peerSecret }: PeerServerOptions, cancel: PeerHandlers['cancel']) {
  return (
    call: ServerUnaryCall<CancelRequest, CancelResponse>,
    respond: sendUnaryData<CancelResponse>,
  ): void => {
    if (!showsSecret(call.metadata, peerSecret)) {
      respond(UNAUTHENTICATED);
      return;
    }
    const neverSent = cancel(call.request);
    respond(null, create(CancelResponseSchema, { neverSent }));
  };
}

function bind(server: Server, { host, port, credentials }: PeerServerOptions): Promise<number> {
  const address = `${host.includes(':') ? `[${host}]` : host}:${port}`;
  return new Promise((resolve, reject) => {
    server.bindAsync(address, credentials, (error, boundPort) => {
      if (error === null) {
        resolve(boundPort);
        return;
      }
      const place = { step: 'listen-peers' };
      reject(gatewayError(ERRORS.listenerFailed, [address, errorText(error)], place, error));
    });
  });
}

/** Opens the listener for peers. */
export async function openPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const server = new Server({ 'grpc.max_receive_message_length': 32 * 1024 * 1024 });
  const { fetchConfiguration, serveForwarded, cancel } = options.handlers;
  server.addService(PEER_SERVICE, {
    exchange: handleExchange(options),
    ...(fetchConfiguration === undefined
      ? {}
      : { fetchConfiguration: handleFetchConfiguration(options, fetchConfiguration) }),
    ...(serveForwarded === undefined
      ? {}
      : {
          forward: (call: ServerWritableStream<ForwardRequest, ForwardEvent>) => {
            void handleForward(options, serveForwarded)(call);
          },
        }),
    ...(cancel === undefined ? {} : { cancel: handleCancel(options, cancel) }),
  });
  const port = await bind(server, options);
  return {
    port,
    drain: () =>
      new Promise((resolve) => {
        server.tryShutdown(() => resolve());
      }),
    async [Symbol.asyncDispose]() {
      server.forceShutdown();
    },
  };
}
