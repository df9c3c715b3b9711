import { create } from '@bufbuild/protobuf';
import type { Metadata } from '@grpc/grpc-js';
import { ExchangeRequestSchema } from '../../gen/membership_pb';
import type { Clock } from '../clock';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { MembershipTransport } from '../membership';
import { PEER_SERVICE } from './definition';
import { fromWireMember, toWireMember } from './member-messages';
import type { PeerConnections } from './peer-connections';

/** Longest wait for a peer's answer to an exchange. */
const EXCHANGE_TIMEOUT_MS = 1_000;

/** What the gRPC side of membership needs. */
export interface ExchangeOptions {
  readonly clock: Clock;
  readonly connections: PeerConnections;
  readonly metadata: Metadata;
  readonly instanceId: string;
}

/** Membership's exchanges over gRPC. */
export function createExchangeTransport(options: ExchangeOptions): MembershipTransport {
  const { clock, connections, metadata, instanceId } = options;
  return {
    exchange: (peerAddress, members) =>
      new Promise((resolve, reject) => {
        const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.exchange;
        const message = create(ExchangeRequestSchema, {
          fromInstanceId: instanceId,
          members: members.map(toWireMember),
        });
        connections
          .to(peerAddress)
          .makeUnaryRequest(
            path,
            requestSerialize,
            responseDeserialize,
            message,
            metadata,
            { deadline: clock.unixMs() + EXCHANGE_TIMEOUT_MS },
            (error, response) => {
              if (error !== null || response === undefined) {
                const place = { step: 'exchange', peer: peerAddress };
                reject(gatewayError(ERRORS.peerUnavailable, [errorText(error)], place, error));
                return;
              }
              resolve(response.members.map(fromWireMember));
            },
          );
      }),
  };
}
