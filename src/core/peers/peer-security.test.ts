import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { Client, status as grpcStatus } from '@grpc/grpc-js';
import { generate } from 'selfsigned';
import { CancelRequestSchema } from '../../gen/forward_pb';
import { createSystemClock } from '../../runtime/system-clock';
import type { Settings } from '../settings';
import { channelCredentials, secretMetadata, serverCredentials } from './credentials';
import { PEER_SERVICE } from './definition';
import { openPeerServer } from './peer-server';
import type { PeerServer } from './peer-server';

type Tls = NonNullable<Settings['tls']>;

const SECRET = 'a-secret-shared-by-all-instances';
const NEVER_MS = 30_000;

interface Authority {
  readonly key: string;
  readonly cert: string;
}

async function makeAuthority(name: string): Promise<Authority> {
  const { private: key, cert } = await generate([{ name: 'commonName', value: name }], {
    algorithm: 'sha256',
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'keyUsage', keyCertSign: true, digitalSignature: true },
    ],
  });
  return { key, cert };
}

async function makeIdentity(authority: Authority): Promise<Tls> {
  const { private: key, cert } = await generate([{ name: 'commonName', value: 'instance' }], {
    algorithm: 'sha256',
    ca: authority,
    extensions: [
      { name: 'basicConstraints', cA: false },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] },
    ],
  });
  return { privateKeyPem: key, certificatePem: cert, authorityPem: authority.cert };
}

/** Calls the listener and resolves with the gRPC status. */
function callWith(port: number, tls: Settings['tls'], secret: string): Promise<number> {
  const client = new Client(`127.0.0.1:${port}`, channelCredentials(tls));
  const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.cancel;
  return new Promise((resolve) => {
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      create(CancelRequestSchema, {}),
      secretMetadata(secret),
      { deadline: createSystemClock().unixMs() + NEVER_MS },
      (error) => {
        client.close();
        resolve(error?.code ?? grpcStatus.OK);
      },
    );
  });
}

describe('who may call the listener for peers', () => {
  let own: Tls;
  let stranger: Tls;
  const servers = new Map<string, PeerServer>();

  before(async () => {
    own = await makeIdentity(await makeAuthority('authority'));
    stranger = await makeIdentity(await makeAuthority('another authority'));
    for (const [name, tls] of [['tls', own] as const, ['plain', undefined] as const]) {
      const server = await openPeerServer({
        host: '127.0.0.1',
        port: 0,
        credentials: serverCredentials(tls),
        peerSecret: SECRET,
        handlers: {
          exchange: (message) => message,
          fetchConfiguration: () => ({
            version: 0,
            isConfirmed: false,
            rootText: '',
            rootDigest: '',
            documents: new Map(),
          }),
          cancel: () => true,
          serveForwarded: async () => {},
        },
      });
      servers.set(name, server);
    }
  });
  after(async () => {
    for (const server of servers.values()) await server[Symbol.asyncDispose]();
  });

  const identities: Readonly<Record<string, () => Settings['tls']>> = {
    own: () => own,
    // Signed by an authority that is not ours, which a stranger can always make.
    stranger: () => stranger,
    // Trusts our authority, but shows the stranger's certificate.
    'stranger that trusts us': () => ({ ...stranger, authorityPem: own.authorityPem }),
    none: () => undefined,
  };

  const cases = [
    { server: 'tls', identity: 'own', secret: SECRET, status: grpcStatus.OK },
    { server: 'tls', identity: 'own', secret: 'wrong', status: grpcStatus.UNAUTHENTICATED },
    { server: 'tls', identity: 'stranger', secret: SECRET, status: grpcStatus.UNAVAILABLE },
    {
      server: 'tls',
      identity: 'stranger that trusts us',
      secret: SECRET,
      status: grpcStatus.UNAVAILABLE,
    },
    { server: 'tls', identity: 'none', secret: SECRET, status: grpcStatus.UNAVAILABLE },
    { server: 'plain', identity: 'none', secret: SECRET, status: grpcStatus.OK },
    { server: 'plain', identity: 'none', secret: 'wrong', status: grpcStatus.UNAUTHENTICATED },
    { server: 'plain', identity: 'none', secret: '', status: grpcStatus.UNAUTHENTICATED },
  ];
  for (const { server, identity, secret, status } of cases) {
    const isRight = secret === SECRET ? 'the right secret' : `the secret "${secret}"`;
    it(`${server} listener, certificate: ${identity}, ${isRight}: ${grpcStatus[status]}`, async () => {
      const port = servers.get(server)?.port ?? 0;
      assert.equal(await callWith(port, identities[identity]?.(), secret), status);
    });
  }
});
