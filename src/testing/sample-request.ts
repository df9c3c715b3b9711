import { keyDigest } from '../core/access';
import { compileConfiguration, configurationSchema } from '../core/configuration';
import type { CompiledConfiguration, Service } from '../core/configuration';
import type { GatewayRequest, Header, ResponseHead, ResponseSink } from '../core/serving';

/** A configuration with one non-repeatable call, and requests and sinks for tests without sockets. */

/** One region, one caller, and `orders` whose `POST /place` needs a ticket. */
export function sampleConfiguration(version = 1): CompiledConfiguration {
  const document = configurationSchema.parse({
    version,
    deployment: 'omaruru',
    regions: [{ name: 'windhoek', failureDomains: ['windhoek-a'] }],
    services: [
      {
        kind: 'plain',
        name: 'orders',
        regions: ['windhoek'],
        nonRepeatable: [{ method: 'POST', pathPrefix: '/place' }],
        notRunStatuses: [429],
      },
    ],
    backendServers: [],
    callers: [
      { id: 'dealer', keySha256: keyDigest('key-of-dealer'), regions: ['windhoek'] },
      { id: 'farmer', keySha256: keyDigest('key-of-farmer'), regions: ['windhoek'] },
    ],
  });
  return compileConfiguration(document);
}

/** A model service whose streams can go on at another server. */
export function sampleModelService(): Service {
  const { services } = configurationSchema.parse({
    ...sampleConfiguration().document,
    services: [
      {
        kind: 'model',
        name: 'kit-assistant',
        regions: ['windhoek'],
        models: ['kit-large'],
        resumption: 'continueFinalMessage',
      },
    ],
  });
  const [service] = services;
  if (service === undefined) throw new Error('The sample is incomplete.');
  return service;
}

/** A request of `dealer` that places an order. */
export function sampleRequest(changes: Partial<GatewayRequest> = {}): GatewayRequest {
  const configuration = changes.configuration ?? sampleConfiguration();
  const caller = configuration.callerById('dealer');
  const service = configuration.serviceNamed('orders');
  if (caller === undefined || service === undefined) throw new Error('The sample is incomplete.');
  return {
    requestId: 'request-1',
    attempt: 1,
    origin: { kind: 'caller' },
    caller,
    service,
    method: 'POST',
    path: '/place',
    headers: [],
    body: Buffer.from('one truss pack'),
    deadlineAtMs: 60_000,
    configuration,
    ...changes,
  };
}

/** A sink that keeps what it is given. */
export interface MemorySink extends ResponseSink {
  readonly heads: ResponseHead[];
  /** All of the body so far. */
  text(): string;
  readonly ends: number;
  readonly aborts: string[];
}

/** An empty memory sink. */
export function createMemorySink(): MemorySink {
  const heads: ResponseHead[] = [];
  const chunks: Uint8Array[] = [];
  const aborts: string[] = [];
  let ends = 0;
  return {
    heads,
    aborts,
    text: () => Buffer.concat(chunks).toString('utf8'),
    get ends() {
      return ends;
    },
    get headSent() {
      return heads.length > 0;
    },
    sendHead(head) {
      heads.push(head);
    },
    async sendChunk(chunk) {
      chunks.push(chunk);
    },
    end() {
      ends += 1;
    },
    abort(reason) {
      aborts.push(reason);
    },
  };
}

/** Sends a whole answer into a sink. */
export async function answerWith(
  sink: ResponseSink,
  text: string,
  headers: readonly Header[] = [],
): Promise<void> {
  sink.sendHead({ status: 200, headers });
  await sink.sendChunk(Buffer.from(text));
  sink.end();
}
