import type { ServiceRequests } from '../membership';
import type { KnownServer } from '../server-registry';

/** Open requests at one server. */
interface ServerRequests {
  readonly incarnationId: string;
  readonly inFlight: number;
}

/**
 * Sums the open requests at servers by service, sorted by service. Requests at servers that are no longer registered do
 * not count: they occupy no slot that another request could get.
 */
export function sumByService(
  requests: readonly ServerRequests[],
  servers: readonly Pick<KnownServer, 'incarnationId' | 'service'>[],
): readonly ServiceRequests[] {
  const serviceOf = new Map(servers.map((server) => [server.incarnationId, server.service]));
  const sums = new Map<string, number>();
  for (const { incarnationId, inFlight } of requests) {
    const service = serviceOf.get(incarnationId);
    if (service !== undefined) sums.set(service, (sums.get(service) ?? 0) + inFlight);
  }
  return [...sums]
    .filter(([, count]) => count > 0)
    .sort(([left], [right]) => (left < right ? -1 : 1));
}

/** Load of one instance, as it reports it to other regions. */
export interface ReportedLoad {
  readonly inFlightRequests: number;
  readonly openRequestsByService?: readonly ServiceRequests[] | undefined;
}

/** Free capacity and utilization of a region for one service. */
export interface RegionRoom {
  /** Free slots: slots of usable servers minus open requests; at least 0. */
  readonly room: number;
  /** Open requests per slot. */
  readonly utilization: number;
}

/** Returns the open requests of one service at an instance; the total if the instance does not state them. */
function openRequests({ inFlightRequests, openRequestsByService }: ReportedLoad, service: string) {
  if (openRequestsByService === undefined) return inFlightRequests;
  return openRequestsByService.find(([name]) => name === service)?.[1] ?? 0;
}

/** Returns the room of a region for a service, from the usable servers and the reports of the instances there. */
export function regionRoom(
  service: string,
  usableServers: readonly Pick<KnownServer, 'slots'>[],
  instances: readonly ReportedLoad[],
): RegionRoom {
  const slots = usableServers.reduce((sum, server) => sum + server.slots, 0);
  const open = instances.reduce((sum, instance) => sum + openRequests(instance, service), 0);
  return { room: Math.max(0, slots - open), utilization: open / Math.max(1, slots) };
}
