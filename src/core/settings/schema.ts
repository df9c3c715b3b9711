import { z } from 'zod';

/** Settings of one instance: what differs between instances and does not change while one runs. */

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'write lower-case letters, digits and dashes, 63 at most');

const ipAddress = z.union([z.ipv4(), z.ipv6()], {
  error: 'write an IP address such as 10.0.0.7; names are not looked up',
});

const port = z
  .int()
  .min(0)
  .max(65_535)
  .describe('TCP port; 0 lets the system choose, which only tests want');

const listener = z.strictObject({
  host: ipAddress.describe('IP address to listen on'),
  port,
});

const httpUrl = z.url({
  protocol: /^https?$/,
  error: 'write an http or https URL such as http://10.0.0.2:8500',
});

/** The zod schema of the settings; every option has its default and its unit here. */
export const settingsSchema = z.strictObject({
  $schema: z.string().optional().describe('JSON Schema for editors; not read'),
  instanceId: name.describe('Name of this instance, unique in the deployment'),
  region: name.describe('Region that this instance stands in'),
  failureDomain: name.describe('Failure domain inside the region'),
  listeners: z.strictObject({
    callers: listener.describe('Where callers connect (HTTP)'),
    peers: listener.describe('Where other instances connect (gRPC)'),
    operators: listener.describe('Where operators connect: status, metrics (HTTP)'),
  }),
  advertised: z
    .strictObject({
      callers: z
        .string()
        .optional()
        .describe('host:port that callers are told; default: the listener'),
      peers: z.string().optional().describe('host:port that peers are told; default: the listener'),
    })
    .default({}),
  seedPeers: z
    .array(
      z
        .string()
        .regex(
          /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
          'write ip:port, for example 10.0.0.8:7400; names are not looked up',
        ),
    )
    .default([])
    .describe('Peer addresses to try first; the platform list and peers add the others'),
  peerSecret: z
    .string()
    .min(16, 'use at least 16 characters')
    .describe(
      'Shared by all instances of a deployment; proves that a caller of the peer port is one',
    ),
  operatorKey: z
    .string()
    .min(16, 'use at least 16 characters')
    .describe('Bearer key for the operators listener'),
  tls: z
    .strictObject({
      certificatePem: z.string().describe('Certificate chain of this instance, PEM'),
      privateKeyPem: z.string().describe('Its private key, PEM'),
      authorityPem: z
        .string()
        .describe('Authority that signs the certificates of all instances, PEM'),
    })
    .optional()
    .describe(
      'Mutual TLS between instances; without it the peer port is plain TCP with the shared secret',
    ),
  platform: z
    .strictObject({
      configurationUrl: httpUrl.describe(
        'Key-value service that holds the configuration (Consul KV HTTP API, read only)',
      ),
      serverListUrl: httpUrl
        .optional()
        .describe('Catalogue of live and leaving backend servers (Consul catalogue HTTP API)'),
      configurationKey: z
        .string()
        .default('coltsfootworks/configuration')
        .describe('Key of the configuration'),
      unconfirmedConfiguration: z
        .enum(['serve', 'refuse'])
        .default('serve')
        .describe(
          'What an instance does while nobody could vouch that its configuration is not an old one',
        ),
      lowestConfigurationVersion: z
        .int()
        .min(1)
        .default(1)
        .describe('Versions below this are never taken, whoever offers them'),
    })
    .describe('What the platform publishes; nothing is ever written there'),
  limits: z
    .strictObject({
      headerBytes: z.int().min(1024).default(16_384).describe('Header section of a request, bytes'),
      bodyBytes: z.int().min(1024).default(8_388_608).describe('Body of a request, bytes'),
      connections: z.int().min(1).default(10_000).describe('Open caller connections'),
      concurrentRequests: z.int().min(1).default(5_000).describe('Requests in work at once'),
      ticketRecords: z
        .int()
        .min(1)
        .default(10_000)
        .describe('Presented tickets remembered, until ten minutes after their expiry'),
      heldAnswersBytes: z
        .int()
        .min(0)
        .default(4_194_304)
        .describe('All answers held for tickets that may be presented again, bytes'),
      heldAnswerBytes: z
        .int()
        .min(0)
        .default(65_536)
        .describe('Largest answer that is held; larger ones are passed on as they come, bytes'),
      ticketLingerMs: z
        .int()
        .min(0)
        .default(5_000)
        .describe('Longest time that a stop waits to answer for tickets already minted, ms'),
      headerTimeoutMs: z
        .int()
        .min(100)
        .default(10_000)
        .describe('Time for a caller to send its header section, ms'),
      bodyTimeoutMs: z
        .int()
        .min(100)
        .default(30_000)
        .describe('Time for a caller to send its whole request, ms'),
    })
    .prefault({})
    .describe('Bounds that protect the instance itself'),
  drain: z
    .strictObject({
      noticeMs: z
        .int()
        .min(0)
        .default(3_000)
        .describe(
          'Time for which a stop is told to peers and callers before new requests are refused, ms',
        ),
    })
    .prefault({})
    .describe('The planned stop of this instance'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Least level that is logged'),
});

/** Settings with all defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;
