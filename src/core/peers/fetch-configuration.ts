import { create } from '@bufbuild/protobuf';
import {
  ConfigurationDocumentSchema,
  FetchConfigurationRequestSchema,
  FetchConfigurationResponseSchema,
} from '../../gen/membership_pb';
import type {
  FetchConfigurationRequest,
  FetchConfigurationResponse,
} from '../../gen/membership_pb';
import type { AskPeer, ConfigurationAnswer, ConfigurationRequest } from '../configuration-sync';
import { callPeer } from './call-peer';
import type { PeerCallOptions } from './call-peer';
import { PEER_SERVICE } from './definition';

/** Longest wait for an answer: half a megabyte between the farthest regions. */
const FETCH_TIMEOUT_MS = 3_000;

/** A request as it came over the wire. */
export function fromWireRequest(request: FetchConfigurationRequest): ConfigurationRequest {
  return { haveVersion: Number(request.haveVersion), wantedHashes: request.wantedHashes };
}

/** An answer as it goes over the wire. */
export function toWireAnswer(answer: ConfigurationAnswer): FetchConfigurationResponse {
  return create(FetchConfigurationResponseSchema, {
    version: BigInt(answer.version),
    confirmed: answer.isConfirmed,
    rootText: answer.rootText,
    rootDigest: answer.rootDigest,
    documents: [...answer.documents].map(([hash, text]) =>
      create(ConfigurationDocumentSchema, { hash, text }),
    ),
  });
}

/** Asks peers for their configuration over gRPC. */
export function createConfigurationAsker(options: PeerCallOptions): AskPeer {
  return async (peerAddress, { haveVersion, wantedHashes }) => {
    const response = await callPeer(options, {
      method: PEER_SERVICE.fetchConfiguration,
      step: 'fetch-configuration',
      peerAddress,
      message: create(FetchConfigurationRequestSchema, {
        haveVersion: BigInt(haveVersion),
        wantedHashes: [...wantedHashes],
      }),
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    return {
      version: Number(response.version),
      isConfirmed: response.confirmed,
      rootText: response.rootText,
      rootDigest: response.rootDigest,
      documents: new Map(response.documents.map(({ hash, text }) => [hash, text])),
    };
  };
}
