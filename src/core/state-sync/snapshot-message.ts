import { z } from 'zod';
import type { ClientAccount } from '../client-accounts';
import type { RoutedService } from '../host-routes';
import { positionSchema } from './position';
import type { PublishedItem, PublishedState } from './types';

/** The complete copy of published state that one instance sends to another. */

const targetSchema = z.object({ service: z.string(), weight: z.number() });

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(['idempotent', 'nonIdempotent', 'stream']),
  isResumable: z.boolean(),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  pauseObjectiveMs: z.number().optional(),
  priority: z.number(),
  maxAttempts: z.number(),
  targets: z.array(targetSchema),
  homeRegions: z.array(z.string()),
  isPublic: z.boolean(),
});

const serviceSchema = z.object({
  name: z.string(),
  maxConnections: z.number(),
  coldStartMs: z.number(),
  coldRequestsPerSecond: z.number(),
  healthPath: z.string(),
  copyMsPerToken: z.number().optional(),
  memoryTokens: z.number().optional(),
});

const accountSchema = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()),
  priority: z.number().optional(),
  homeRegions: z.array(z.string()),
  quota: z
    .object({
      unit: z.enum(['requests', 'tokens']),
      plainCost: z.number(),
      perSecond: z.number(),
      burst: z.number(),
    })
    .optional(),
});

const tableSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  /** Null where requests need no key. If omitted, a table that requires keys could be taken for one that does not. */
  accounts: z.array(accountSchema).nullable(),
});

const announcementSchema = z.object({
  serverId: z.string(),
  startedAtUnixMs: z.number().optional(),
  service: z.string(),
  /** Missing in messages of instances of an earlier release. */
  softwareVersion: z.string().default(''),
  address: z.string(),
  failureDomain: z.string(),
  slots: z.number(),
  isDraining: z.boolean(),
  coldForMs: z.number(),
  goneInMs: z.number().optional(),
});

/** Schema of a published item in messages between instances. */
export const itemSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('routes'), table: tableSchema }),
  z.object({ kind: z.literal('server'), announcement: announcementSchema }),
  z.object({ kind: z.literal('evacuation'), failureDomain: z.string() }),
]);

const snapshotSchema = z.object({ position: positionSchema, items: z.array(itemSchema) });

type SnapshotItem = z.input<typeof itemSchema>;

function toMessageAccount(account: ClientAccount): z.input<typeof accountSchema> {
  const { keyDigests, homeRegions } = account;
  return { ...account, keyDigests: [...keyDigests], homeRegions: [...homeRegions] };
}

/** Converts an item to its form in messages between instances. */
export function toMessageItem(item: PublishedItem): SnapshotItem {
  if (item.kind !== 'routes') return item;
  const { table } = item;
  return {
    kind: 'routes',
    table: {
      version: table.version,
      limits: { ...table.limits },
      accounts: table.accounts?.map(toMessageAccount) ?? null,
      services: [...table.services.values()],
      routes: table.routes.map((route) => ({
        ...route,
        targets: [...route.targets],
        homeRegions: [...route.homeRegions],
      })),
    },
  };
}

/** Converts an item back from its form in messages between instances. */
export function fromMessageItem(item: z.output<typeof itemSchema>): PublishedItem {
  switch (item.kind) {
    case 'routes': {
      const services = new Map<string, RoutedService>(
        item.table.services.map(({ copyMsPerToken, memoryTokens, ...service }) => [
          service.name,
          { ...service, copyMsPerToken, memoryTokens },
        ]),
      );
      const routes = item.table.routes.map(({ pauseObjectiveMs, ...route }) => ({
        ...route,
        pauseObjectiveMs,
      }));
      const accounts = item.table.accounts?.map(({ priority, quota, ...account }) => ({
        ...account,
        priority,
        quota,
      }));
      return { kind: 'routes', table: { ...item.table, routes, services, accounts } };
    }
    case 'server': {
      const { goneInMs, startedAtUnixMs, ...announcement } = item.announcement;
      return { kind: 'server', announcement: { ...announcement, startedAtUnixMs, goneInMs } };
    }
    case 'evacuation':
      return item;
    default:
      return item satisfies never;
  }
}

/** Serializes a snapshot as JSON. */
export function serializeSnapshot(state: PublishedState): string {
  return JSON.stringify({ position: state.position, items: state.items.map(toMessageItem) });
}

/** Parses a snapshot from JSON; throws if the text is not a valid snapshot. */
export function parseSnapshot(text: string): PublishedState {
  const { position, items } = snapshotSchema.parse(JSON.parse(text));
  return { position, items: items.map(fromMessageItem), unreadable: [] };
}
