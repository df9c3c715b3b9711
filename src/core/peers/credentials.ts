import { ChannelCredentials, Metadata, ServerCredentials } from '@grpc/grpc-js';
import { secretsMatch } from '../access';
import type { Settings } from '../settings';

/** How instances prove to one another who they are: the shared secret always, mutual TLS where set. */

const SECRET_HEADER = 'authorization';

/** Metadata that shows the secret. */
export function secretMetadata(peerSecret: string): Metadata {
  const metadata = new Metadata();
  metadata.set(SECRET_HEADER, `Bearer ${peerSecret}`);
  return metadata;
}

/** Whether metadata shows the secret. */
export function showsSecret(metadata: Metadata, peerSecret: string): boolean {
  const [value] = metadata.get(SECRET_HEADER);
  return typeof value === 'string' && secretsMatch(value, `Bearer ${peerSecret}`);
}

/** Credentials for calling peers. */
export function channelCredentials(tls: Settings['tls']): ChannelCredentials {
  if (tls === undefined) return ChannelCredentials.createInsecure();
  return ChannelCredentials.createSsl(
    Buffer.from(tls.authorityPem),
    Buffer.from(tls.privateKeyPem),
    Buffer.from(tls.certificatePem),
  );
}

/** Credentials for being called by peers; a client without a certificate of the authority is turned down. */
export function serverCredentials(tls: Settings['tls']): ServerCredentials {
  if (tls === undefined) return ServerCredentials.createInsecure();
  return ServerCredentials.createSsl(
    Buffer.from(tls.authorityPem),
    [
      {
        private_key: Buffer.from(tls.privateKeyPem),
        cert_chain: Buffer.from(tls.certificatePem),
      },
    ],
    true,
  );
}
