import type { BackendServer, Configuration, EngineRole } from '../configuration';
import { rankCandidates } from '../rendezvous';
import type { ModelVersion, PlacedEngine, PlacementPlan, WantedEngine } from './types';

/** What a plan is made from. All of it is published, so that instances that read the same plan the same. */
export interface PlanInput {
  readonly configuration: Configuration;
  readonly service: string;
  readonly region: string;
  /** Engines that are leaving, or have been down for long. */
  readonly unavailable: ReadonlySet<string>;
}

function toEngine(server: BackendServer): PlacedEngine {
  const { id, address, modelSlots, refusesOldFencing } = server;
  return { engineId: id, address, modelSlots, refusesOldFencing };
}

/**
 * Which engine is to have what: a pure function of what is published.
 *
 * Each name goes to the engines that come first in its own rendezvous order and have a slot left. A new version
 * of a name stays where the old one is, and an engine that goes or comes moves only what it had or gets; an
 * assignment by turns would move models between all engines at each change, and every move is a read of the
 * weight store and an engine that is cold for minutes.
 */
export function planPlacement(input: PlanInput): PlacementPlan {
  const { configuration, service, region, unavailable } = input;
  const { placement, backendServers, version } = configuration;
  const engines = backendServers
    .filter((server) => server.service === service && server.region === region)
    .filter((server) => !unavailable.has(server.id))
    .map(toEngine);
  const ids = engines.map(({ engineId }) => engineId);
  const isHere = (wanted: { readonly service: string; readonly region: string }) =>
    wanted.service === service && wanted.region === region;

  const models = new Map<string, ModelVersion[]>(ids.map((id) => [id, []]));
  const slots = new Map(engines.map(({ engineId, modelSlots }) => [engineId, modelSlots]));
  const wantedModels = placement.models
    .filter(isHere)
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  for (const { name, kind, version: modelVersion, source, engines: count } of wantedModels) {
    const free = rankCandidates(name, ids).filter(
      (id) => (models.get(id)?.length ?? 0) < (slots.get(id) ?? 0),
    );
    for (const id of free.slice(0, count)) {
      models.get(id)?.push({ name, kind, version: modelVersion, source });
    }
  }

  const roles = new Map<string, EngineRole>();
  const wantedRoles = placement.roles.filter(isHere);
  for (const { role, engines: count } of wantedRoles) {
    const free = rankCandidates(`role/${role}`, ids).filter((id) => !roles.has(id));
    for (const id of free.slice(0, count)) roles.set(id, role);
  }

  return {
    configurationVersion: version,
    engines: engines.map((engine): WantedEngine => ({
      engine,
      models: models.get(engine.engineId) ?? [],
      role: roles.get(engine.engineId),
    })),
    wantedCounts: new Map(wantedModels.map(({ name, engines: count }) => [name, count])),
    wantedRoles: new Set(wantedRoles.map(({ role }) => role)),
  };
}
