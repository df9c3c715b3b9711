import { readFileSync } from 'node:fs';
import { configurationSchema } from '../src/core/configuration';
import type { Configuration } from '../src/core/configuration';
import { createDisposableStore } from '../src/core/lifetime';
import { settingsSchema } from '../src/core/settings';
import type { Settings } from '../src/core/settings';
import { waitFor } from '../src/testing';
import { openEngineStandIn } from '../standins/engine';
import type { EngineStandIn } from '../standins/engine';
import { openFaultProxy } from '../standins/fault-proxy';
import type { FaultProxy } from '../standins/fault-proxy';
import { openPlainStandIn } from '../standins/plain-service';
import type { PlainStandIn } from '../standins/plain-service';
import { openPlatformStandIn } from '../standins/platform';
import type { PlatformStandIn } from '../standins/platform';
import { startInstanceProcess } from './instance-process';
import type { InstanceProcess } from './instance-process';
import { fetchStatus } from './operator-client';

/** A sample deployment on loopback: its stand-ins, and its instances as processes. */
export interface Deployment extends AsyncDisposable {
  readonly name: string;
  readonly configuration: Configuration;
  readonly platform: PlatformStandIn;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly applications: ReadonlyMap<string, PlainStandIn>;
  readonly instances: readonly InstanceProcess[];
  /** Proxies through which instances reach one another, in the order of the instances. */
  readonly links: readonly FaultProxy[];
  publish(configuration: Configuration): void;
  /** Starts a new process with the settings of the instance at `index`, which must have ended. */
  restart(index: number): Promise<void>;
  instanceIn(region: string): InstanceProcess;
}

const PEER_SECRET = 'demonstration-peer-secret';
/** Key for the operators' listeners of the demonstration. */
export const DEMO_OPERATOR_KEY = 'demonstration-operator-key';
const CONFIGURATION_KEY = 'coltsfootworks/configuration';
const ANSWER_TOKENS = 24;
const TOKEN_INTERVAL_MS = 5;

function readSample(name: string): Configuration {
  const text = readFileSync(`samples/${name}/configuration.json`, 'utf8');
  return configurationSchema.parse(JSON.parse(text));
}

interface Servers {
  readonly engines: Map<string, EngineStandIn>;
  readonly applications: Map<string, PlainStandIn>;
  readonly configuration: Configuration;
}

async function openServers(sample: Configuration): Promise<Servers> {
  const engines = new Map<string, EngineStandIn>();
  const applications = new Map<string, PlainStandIn>();
  const backendServers: Configuration['backendServers'] = [];
  for (const server of sample.backendServers) {
    const service = sample.services.find((candidate) => candidate.name === server.service);
    if (service?.kind === 'model') {
      const engine = await openEngineStandIn({
        answerTokens: ANSWER_TOKENS,
        tokenIntervalMs: TOKEN_INTERVAL_MS,
      });
      engines.set(server.id, engine);
      backendServers.push({ ...server, address: engine.address });
    } else {
      const application = await openPlainStandIn();
      applications.set(server.id, application);
      backendServers.push({ ...server, address: application.address });
    }
  }
  return { engines, applications, configuration: { ...sample, backendServers } };
}

interface Place {
  readonly region: string;
  readonly failureDomain: string;
}

function placesOf(configuration: Configuration): Place[] {
  return configuration.regions.flatMap(({ name, failureDomains }) =>
    failureDomains.map((failureDomain) => ({ region: name, failureDomain })),
  );
}

/** Waits until all instances are ready and know each other. */
export async function waitUntilWhole(instances: readonly InstanceProcess[]): Promise<void> {
  const isWhole = async (instance: InstanceProcess) => {
    const status = await fetchStatus(instance, DEMO_OPERATOR_KEY);
    const alive = status?.members.filter((member) => member.status === 'alive').length ?? 0;
    return status?.ready === true && alive >= instances.length;
  };
  await waitFor(
    async () => (await Promise.all(instances.map(isWhole))).every(Boolean),
    'all instances to be ready and to know one another',
  );
}

/** Starts the sample deployment with the given name. */
export async function startDeployment(name: string): Promise<Deployment> {
  const owned = createDisposableStore();
  const platform = owned.add(await openPlatformStandIn());
  const { engines, applications, configuration } = await openServers(readSample(name));
  for (const server of [...engines.values(), ...applications.values()]) owned.add(server);
  const publish = (next: Configuration) =>
    platform.publish(CONFIGURATION_KEY, JSON.stringify(next));
  publish(configuration);

  const instances: InstanceProcess[] = [];
  const places = placesOf(configuration);
  const links: FaultProxy[] = [];
  for (let index = 0; index < places.length; index += 1) {
    // Until the instance listens, connections to its proxy fail, like those to any seed that has not started.
    const target = () => instances[index]?.addresses.peerListenAddress ?? '127.0.0.1:1';
    links.push(owned.add(await openFaultProxy(target)));
  }

  const settingsOf = ({ region, failureDomain }: Place, index: number): Settings => {
    const anyPort = { host: '127.0.0.1', port: 0 };
    return settingsSchema.parse({
      instanceId: `${failureDomain}1`,
      region,
      failureDomain,
      listeners: { callers: anyPort, peers: anyPort, operators: anyPort },
      advertised: { peers: links[index]?.address },
      seedPeers: links.filter((_link, other) => other !== index).map((link) => link.address),
      peerSecret: PEER_SECRET,
      operatorKey: DEMO_OPERATOR_KEY,
      platform: { configurationUrl: `http://${platform.address}` },
    });
  };
  instances.push(
    ...(await Promise.all(
      places.map((place, index) => startInstanceProcess(settingsOf(place, index))),
    )),
  );
  owned.defer(async () => {
    await Promise.all(instances.map((instance) => instance[Symbol.asyncDispose]()));
  });

  return {
    name,
    configuration,
    platform,
    engines,
    applications,
    instances,
    links,
    publish,
    async restart(index) {
      const previous = instances[index];
      if (previous !== undefined) instances[index] = await startInstanceProcess(previous.settings);
    },
    instanceIn(region) {
      const found = instances.find(({ settings }) => settings.region === region);
      if (found === undefined) throw new Error(`No instance in ${region}`);
      return found;
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
