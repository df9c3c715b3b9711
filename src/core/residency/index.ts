import type { Caller, CompiledConfiguration, Service } from '../configuration';

/** Returns the regions in which a request's data may be: those that both its caller and its service allow. */
export function allowedRegions(caller: Caller, service: Service): readonly string[] {
  return service.regions.filter((region) => caller.regions.includes(region));
}

/**
 * Returns the allowed regions by looking up the caller and service again, so that a stricter configuration
 * also applies to requests that are already waiting.
 */
export function currentlyAllowedRegions(
  configuration: CompiledConfiguration,
  callerId: string,
  serviceName: string,
): readonly string[] {
  const caller = configuration.callerById(callerId);
  const service = configuration.serviceNamed(serviceName);
  if (caller === undefined || service === undefined) return [];
  return allowedRegions(caller, service);
}
