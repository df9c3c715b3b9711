import { z } from 'zod';
import type { CheckedServer, ListStatus } from './types';

/** Reads the platform's list of one service, as the Consul health HTTP API answers it. */

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

/** The answer of `GET /v1/health/service/NAME`. */
export const serverListSchema = z.array(entrySchema);

/** One entry of the list. */
export type ServerListEntry = z.output<typeof entrySchema>;

/** Start of the id of the check by which Consul shows that a server was put into maintenance. */
const MAINTENANCE_CHECKS = ['_service_maintenance', '_node_maintenance'];

function addressOf({ Node, Service }: ServerListEntry): string {
  const host = Service.Address === '' ? (Node?.Address ?? '') : Service.Address;
  return host.includes(':') ? `[${host}]:${Service.Port}` : `${host}:${Service.Port}`;
}

function statusOf({ Service, Checks }: ServerListEntry): ListStatus {
  const isInMaintenance = Checks.some(
    ({ CheckID, Status }) =>
      Status === 'critical' && MAINTENANCE_CHECKS.some((prefix) => CheckID.startsWith(prefix)),
  );
  if (isInMaintenance || Service.Meta?.leaving === 'true') return 'leaving';
  return Checks.some(({ Status }) => Status === 'critical') ? 'failing' : 'passing';
}

/**
 * What the list says of each server. Entries are matched by address, which is what gets the work; of two under
 * one address the one registered last counts, since the other is left over from a server that has gone.
 */
export function listStatuses(
  entries: readonly ServerListEntry[],
  servers: readonly CheckedServer[],
): ReadonlyMap<string, ListStatus> {
  const latest = new Map<string, ServerListEntry>();
  for (const entry of entries) {
    const address = addressOf(entry);
    const known = latest.get(address);
    if (known === undefined || entry.Service.CreateIndex > known.Service.CreateIndex) {
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
