import type { BackendServer, Caller, Configuration, Service } from './schema';

/** One version with the look-ups that a request needs, built once when the version comes into force. */
export interface CompiledConfiguration {
  readonly version: number;
  readonly document: Configuration;
  serviceNamed(name: string): Service | undefined;
  serviceOfModel(model: string): Service | undefined;
  serversOf(service: string): readonly BackendServer[];
  callerByKeyDigest(keySha256: string): Caller | undefined;
  callerById(id: string): Caller | undefined;
}

/** Indexes `document`; costs time in proportion to its size, so it runs once a version. */
export function compileConfiguration(document: Configuration): CompiledConfiguration {
  const services = new Map(document.services.map((service) => [service.name, service]));
  const servicesOfModels = new Map<string, Service>();
  const servers = new Map<string, BackendServer[]>();
  const callersByDigest = new Map(document.callers.map((caller) => [caller.keySha256, caller]));
  const callersById = new Map(document.callers.map((caller) => [caller.id, caller]));

  for (const service of document.services) {
    servers.set(service.name, []);
    if (service.kind === 'model') {
      for (const model of service.models) servicesOfModels.set(model, service);
    }
  }
  for (const server of document.backendServers) servers.get(server.service)?.push(server);

  return {
    version: document.version,
    document,
    serviceNamed: (name) => services.get(name),
    serviceOfModel: (model) => servicesOfModels.get(model),
    serversOf: (service) => servers.get(service) ?? [],
    callerByKeyDigest: (digest) => callersByDigest.get(digest),
    callerById: (id) => callersById.get(id),
  };
}
