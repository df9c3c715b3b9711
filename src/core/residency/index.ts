import type { Caller, CompiledConfiguration, Service } from '../configuration';

/** Where data may be: the caller's regions and the service's, together, in the configuration in force. */
export function allowedRegions(caller: Caller, service: Service): readonly string[] {
  return service.regions.filter((region) => caller.regions.includes(region));
}

/** Looks the caller and service up again, so that a tightened configuration binds work already waiting. */
export function allowedRegionsNow(
  configuration: CompiledConfiguration,
  callerId: string,
  serviceName: string,
): readonly string[] {
  const caller = configuration.callerById(callerId);
  const service = configuration.serviceNamed(serviceName);
  if (caller === undefined || service === undefined) return [];
  return allowedRegions(caller, service);
}
