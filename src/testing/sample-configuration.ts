import { createHash } from 'node:crypto';
import type { ConfigurationInput } from '../core/configuration';

/** How large a sample is. */
export interface SampleSize {
  readonly regions: number;
  readonly services: number;
  readonly servers: number;
  readonly callers: number;
}

/** A configuration of a given size, the same each time. */
export function sampleConfiguration(size: SampleSize, version = 1): ConfigurationInput {
  const regionNames = Array.from({ length: size.regions }, (_, index) => `region-${index}`);
  const regionOf = (index: number) => regionNames[index % size.regions] ?? 'region-0';
  return {
    version,
    deployment: 'sample',
    regions: regionNames.map((name) => ({
      name,
      failureDomains: [0, 1, 2, 3].map((domain) => `${name}-${domain}`),
    })),
    services: Array.from({ length: size.services }, (_, index) => ({
      kind: 'model' as const,
      name: `service-${index}`,
      regions: regionNames,
      models: [`model-${index}`],
    })),
    backendServers: Array.from({ length: size.servers }, (_, index) => ({
      id: `engine-${index}`,
      service: `service-${index % size.services}`,
      region: regionOf(index),
      failureDomain: `${regionOf(index)}-0`,
      address: `10.${Math.floor(index / 200)}.${index % 200}.1:8000`,
    })),
    callers: Array.from({ length: size.callers }, (_, index) => ({
      id: `caller-${index}`,
      keySha256: createHash('sha256').update(`key ${index}`).digest('hex'),
      regions: [regionOf(index), regionOf(index + 1)],
      limits: { requestsPerSecond: 5, burstRequests: 20 },
    })),
  };
}

/** The sample with one caller's limit changed, as the next version. */
export function withCallerChanged(
  configuration: ConfigurationInput,
  index: number,
): ConfigurationInput {
  const version = configuration.version + 1;
  const callers = configuration.callers.map((caller, at) =>
    at === index
      ? { ...caller, limits: { requestsPerSecond: version, burstRequests: 20 } }
      : caller,
  );
  return { ...configuration, version, callers };
}
