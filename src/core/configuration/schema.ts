import { z } from 'zod';
import { callerSchema } from './caller-schema';
import { nameSchema } from './names-schema';
import { resilienceSchema } from './resilience-schema';
import { placementSchema } from './placement-schema';
import type { engineRoleSchema } from './placement-schema';
import { backendServerSchema } from './server-schema';
import { serviceSchema } from './service-schema';
import type { prioritySchema } from './service-schema';

/**
 * The configuration: what operators publish in numbered versions and every instance follows.
 * Cross-references (a service naming a region, a server naming a service) are checked at the end.
 */

/** The zod schema of what the deployment weighs. */
export const weightsSchema = z
  .strictObject({
    tailLatency: z.number().min(0).default(1),
    remoteShare: z
      .number()
      .min(0)
      .default(1)
      .describe('Dislike of serving outside the home region'),
    cost: z.number().min(0).default(0.2),
  })
  .prefault({})
  .describe('What the deployment weighs; only the ratios matter');

const region = z.strictObject({
  name: nameSchema,
  failureDomains: z.array(nameSchema).min(1),
});

const shape = z.strictObject({
  $schema: z.string().optional(),
  version: z.int().min(1).describe('Number of this version; each next one is higher'),
  deployment: nameSchema,
  weights: weightsSchema,
  resilience: resilienceSchema
    .prefault({})
    .describe('How failures of servers and requests are answered'),
  regions: z.array(region).min(1),
  services: z.array(serviceSchema),
  backendServers: z.array(backendServerSchema),
  placement: placementSchema,
  callers: z.array(callerSchema),
});

/** All but the collections that grow with the deployment; in the published form they are sections of their own. */
export const headSchema = shape.omit({ services: true, backendServers: true, callers: true });

type Shape = z.output<typeof shape>;
type Report = (path: PropertyKey[], message: string) => void;

function reportRepeated(report: Report, section: string, names: readonly string[]): void {
  const seen = new Set<string>();
  names.forEach((entry, index) => {
    if (seen.has(entry)) {
      report([section, index], `"${entry}" stands twice; each needs a name of its own`);
    }
    seen.add(entry);
  });
}

function reportUnknownRegions(report: Report, document: Shape): void {
  const known = new Set(document.regions.map((entry) => entry.name));
  const check = (path: PropertyKey[], regionName: string) => {
    if (!known.has(regionName)) {
      report(path, `unknown region "${regionName}"; known are ${[...known].join(', ')}`);
    }
  };
  document.services.forEach((service, index) =>
    service.regions.forEach((entry, at) => check(['services', index, 'regions', at], entry)),
  );
  document.callers.forEach((entry, index) =>
    entry.regions.forEach((allowed, at) => check(['callers', index, 'regions', at], allowed)),
  );
  document.backendServers.forEach((server, index) =>
    check(['backendServers', index, 'region'], server.region),
  );
  for (const section of ['models', 'roles'] as const) {
    document.placement[section].forEach((wanted, index) =>
      check(['placement', section, index, 'region'], wanted.region),
    );
  }
}

function reportUnknownServices(report: Report, document: Shape): void {
  const known = new Set(document.services.map((service) => service.name));
  document.backendServers.forEach((server, index) => {
    if (!known.has(server.service)) {
      report(['backendServers', index, 'service'], `unknown service "${server.service}"`);
    }
  });
}

/** Reports what is wrong between the parts of a document whose parts are each right. */
export function checkReferences(document: Shape, report: Report): void {
  reportRepeated(
    report,
    'regions',
    document.regions.map((entry) => entry.name),
  );
  reportRepeated(
    report,
    'services',
    document.services.map((service) => service.name),
  );
  reportRepeated(
    report,
    'backendServers',
    document.backendServers.map((server) => server.id),
  );
  reportRepeated(
    report,
    'callers',
    document.callers.map((entry) => entry.id),
  );
  reportUnknownRegions(report, document);
  reportUnknownServices(report, document);
}

/** The zod schema of the configuration. */
export const configurationSchema = shape.superRefine((document, context) => {
  checkReferences(document, (path, message) => context.addIssue({ code: 'custom', path, message }));
});

/** One version as operators write it. */
export type ConfigurationInput = z.input<typeof configurationSchema>;
/** One version, with defaults filled in. */
export type Configuration = z.output<typeof configurationSchema>;
/** One service. */
export type Service = z.output<typeof serviceSchema>;
/** One backend server. */
export type BackendServer = z.output<typeof backendServerSchema>;
/** What the engines of each region are to have. */
export type Placement = z.output<typeof placementSchema>;
/** What an engine does. */
export type EngineRole = z.output<typeof engineRoleSchema>;
/** One caller. */
export type Caller = z.output<typeof callerSchema>;
/** Which work goes first. */
export type Priority = z.output<typeof prioritySchema>;
/** What the deployment weighs. */
export type Weights = z.output<typeof weightsSchema>;
