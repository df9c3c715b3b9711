import { z } from 'zod';
import type { CheckedServer, ListStatus } from './types';

/** Parses the platform's list of the servers of one service, in the format of the Consul health HTTP API. */

const entrySchema = z.object({
  Node: z.object({ Address: z.string() }).optional(),
  Service: z.object({
    ID: z.string(),
    Address: z.string().default(''),
    Port: z.int(),
    Meta: z.record(z.string(), z.string()).nullish(),
    CreateIndex: z.int().default(0),
  }),
  Checks: z.array(z.object({ CheckID: z.string(), Status: z.string() })).default([]),
});

/** Schema of the answer to `GET /v1/health/service/NAME`. */
export const serverListSchema = z.array(entrySchema);

/** Entry of the list: one registered server with its checks. */
export type ServerListEntry = z.output<typeof entrySchema>;

/** Id prefixes of the checks by which Consul shows that a server or its node is in maintenance. */
const MAINTENANCE_CHECK_PREFIXES = ['_service_maintenance', '_node_maintenance'];

function addressOf({ Node, Service }: ServerListEntry): string {
  const host = Service.Address === '' ? (Node?.Address ?? '') : Service.Address;
  return host.includes(':') ? `[${host}]:${Service.Port}` : `${host}:${Service.Port}`;
}

function statusOf({ Service, Checks }: ServerListEntry): ListStatus {
  const isInMaintenance = Checks.some(
    ({ CheckID, Status }) =>
      Status === 'critical' &&
      MAINTENANCE_CHECK_PREFIXES.some((prefix) => CheckID.startsWith(prefix)),
  );
  if (isInMaintenance || Service.Meta?.leaving === 'true') return 'leaving';
  return Checks.some(({ Status }) => Status === 'critical') ? 'failing' : 'passing';
}

/**
 * Returns the status of each server in the list. Entries are matched by address, since requests are sent to the
 * address. Of two entries with one address the one registered last counts: the other remains from a server that has
 * gone.
 */
export function listStatuses(
  entries: readonly ServerListEntry[],
  servers: readonly CheckedServer[],
): ReadonlyMap<string, ListStatus> {
  const latest = new Map<string, ServerListEntry>();
  for (const entry of entries) {
    const address = addressOf(entry);
    const previous = latest.get(address);
    if (previous === undefined || entry.Service.CreateIndex > previous.Service.CreateIndex) {
      latest.set(address, entry);
    }
  }
  return new Map(
    servers.map(({ serverId, address }) => {
      const entry = latest.get(address);
      return [serverId, entry === undefined ? 'missing' : statusOf(entry)];
    }),
  );
}
