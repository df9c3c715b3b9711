import { request } from 'undici';
import { configurationSchema } from '../../src/core/configuration';
import type { Configuration } from '../../src/core/configuration';
import { keyDigest } from '../../src/core/access';
import { createDisposableStore } from '../../src/core/lifetime';
import { settingsSchema } from '../../src/core/settings';
import { waitFor } from '../../src/testing';
import { startInstanceProcess } from '../../demo/instance-process';
import { openEngineStandIn } from '../../standins/engine';
import type { EngineStandIn } from '../../standins/engine';
import { openPlainStandIn } from '../../standins/plain-service';
import type { PlainStandIn } from '../../standins/plain-service';
import { openPlatformStandIn } from '../../standins/platform';

/** One instance as a process, with its servers as stand-ins in this one. */
export interface GatewayUnderTest extends AsyncDisposable {
  /** http://ip:port for callers. */
  readonly url: string;
  readonly engines: readonly EngineStandIn[];
  readonly application: PlainStandIn;
  /** Processor time that the instance has used so far, s. */
  processorSeconds(): Promise<number>;
  /** Resident memory of the instance, bytes. */
  residentBytes(): Promise<number>;
}

/** Key of the bench's only caller. */
export const BENCH_KEY = 'key-of-the-bench';

const REGION = 'rundu';
const OPERATOR_KEY = 'operator-key-of-the-bench';
const CONFIGURATION_KEY = 'coltsfootworks/configuration';
const NO_LIMIT = 1_000_000;
/** Engines of one node's share at the target are 8.5; with fewer, admission would queue the bench's streams. */
const ENGINES = 10;

function describeConfiguration(
  engines: readonly EngineStandIn[],
  application: string,
): Configuration {
  const server = { region: REGION, failureDomain: 'rundu-a' };
  return configurationSchema.parse({
    version: 1,
    deployment: 'bench',
    regions: [{ name: REGION, failureDomains: ['rundu-a'] }],
    services: [
      { kind: 'model', name: 'chat', regions: [REGION], models: ['kit-large'] },
      { kind: 'plain', name: 'stock', regions: [REGION] },
    ],
    backendServers: [
      ...engines.map(({ address }, index) => ({
        ...server,
        id: `engine-${index + 1}`,
        service: 'chat',
        address,
      })),
      { ...server, id: 'application', service: 'stock', address: application },
    ],
    callers: [
      {
        id: 'bench',
        keySha256: keyDigest(BENCH_KEY),
        regions: [REGION],
        limits: { requestsPerSecond: NO_LIMIT, burstRequests: NO_LIMIT },
      },
    ],
  });
}

function metricValue(text: string, name: string): number {
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
  return Number(line?.split(' ')[1]);
}

/** Starts the instance and waits until it is ready. */
export async function startGatewayUnderTest(): Promise<GatewayUnderTest> {
  const owned = createDisposableStore();
  const platform = owned.add(await openPlatformStandIn());
  const engines: EngineStandIn[] = [];
  for (let index = 0; index < ENGINES; index += 1) {
    engines.push(owned.add(await openEngineStandIn()));
  }
  const application = owned.add(await openPlainStandIn());
  const configuration = describeConfiguration(engines, application.address);
  platform.publish(CONFIGURATION_KEY, JSON.stringify(configuration));

  const anyPort = { host: '127.0.0.1', port: 0 };
  const settings = settingsSchema.parse({
    instanceId: 'bench-1',
    region: REGION,
    failureDomain: 'rundu-a',
    listeners: { callers: anyPort, peers: anyPort, operators: anyPort },
    peerSecret: 'peer-secret-of-the-bench',
    operatorKey: OPERATOR_KEY,
    platform: { configurationUrl: `http://${platform.address}` },
    // A line for each decision is part of the cost, as in production.
    logLevel: 'info',
  });
  const { addresses } = owned.add(await startInstanceProcess(settings));

  const url = `http://${addresses.callerAddress}`;
  await waitFor(async () => {
    const answer = await request(`${url}/readyz`).catch(() => undefined);
    await answer?.body.dump();
    return answer?.statusCode === 200;
  }, 'the instance to be ready');

  const metric = async (name: string) => {
    const answer = await request(`http://${addresses.operatorAddress}/metrics`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return metricValue(await answer.body.text(), name);
  };
  return {
    url,
    engines,
    application,
    processorSeconds: () => metric('process_cpu_seconds_total'),
    residentBytes: () => metric('process_resident_memory_bytes'),
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
