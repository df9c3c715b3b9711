import type { EngineRole } from '../configuration';
import { rankCandidates } from '../rendezvous';
import type {
  DecidedOrder,
  EngineSight,
  ModelVersion,
  PlacementPlan,
  PresentModel,
  WantedEngine,
} from './types';

/** What the orders of one round rest on. */
export interface OrderInput {
  readonly plan: PlacementPlan;
  /** Engines that answered a look just now; an engine that did not gets no orders and counts as having nothing. */
  readonly sights: ReadonlyMap<string, EngineSight>;
  /** Loads that may begin now without breaking the weight store's limit. */
  readonly loadsLeft: number;
}

/** The orders of one round, and what can't be done. */
export interface OrderDecision {
  readonly orders: readonly DecidedOrder[];
  /** Names that can't be replaced without leaving their region for a time. */
  readonly blockedNames: readonly string[];
}

/** A round as it is being decided: what engines will have once the orders so far are carried out. */
interface Round {
  readonly plan: PlacementPlan;
  readonly present: Map<string, PresentModel[]>;
  readonly orders: DecidedOrder[];
  readonly touchedNames: Set<string>;
  readonly blockedNames: Set<string>;
  /** Loads that this round may begin in all. */
  readonly allowedLoads: number;
}

const presentOn = ({ present }: Round, engineId: string) => present.get(engineId) ?? [];

function isSame(present: PresentModel, wanted: ModelVersion): boolean {
  return present.name === wanted.name && present.version === wanted.version;
}

/** Whether the weight store's limit leaves a load to this round. */
function mayLoad(round: Round): boolean {
  const begun = round.orders.filter((decided) => decided.order.kind === 'load').length;
  return begun < round.allowedLoads;
}

/** Engines that serve a name now, in whatever version; one that still loads it serves nobody. */
function servingEngines(round: Round, name: string): readonly string[] {
  return [...round.present]
    .filter(([, models]) => models.some((one) => one.name === name && one.state === 'loaded'))
    .map(([engineId]) => engineId);
}

function load(round: Round, { engine }: WantedEngine, model: ModelVersion, reason: string): void {
  const before = presentOn(round, engine.engineId);
  const { name, kind, version } = model;
  round.present.set(engine.engineId, [
    ...before,
    { name, kind, version, state: 'loading', loadAgeMs: 0 },
  ]);
  round.orders.push({ order: { kind: 'load', engineId: engine.engineId, model }, reason });
}

function hasFreeSlot(round: Round, { engine }: WantedEngine): boolean {
  return presentOn(round, engine.engineId).length < engine.modelSlots;
}

/**
 * Whether an engine may give a name up: enough others must serve it already. Half of what is wanted, and never
 * less than one, so that a change of version takes at most half of the capacity away at a time.
 */
function mayGiveUp(round: Round, name: string, engineId: string): boolean {
  const wanted = round.plan.wantedCounts.get(name);
  if (wanted === undefined) return true;
  const others = servingEngines(round, name).filter((id) => id !== engineId);
  return others.length >= Math.max(1, Math.floor(wanted / 2));
}

/** One engine of a name changes at a time; the next look shows whether it came through. */
function unload(round: Round, engineId: string, model: PresentModel, reason: string): void {
  const { name, kind: modelKind } = model;
  round.touchedNames.add(name);
  round.present.set(
    engineId,
    presentOn(round, engineId).filter((one) => one !== model),
  );
  round.orders.push({ order: { kind: 'unload', engineId, name, modelKind }, reason });
}

/** A further engine that can take a name for the time of a change. */
function spareEngine(round: Round, name: string): WantedEngine | undefined {
  const byId = new Map(round.plan.engines.map((wanted) => [wanted.engine.engineId, wanted]));
  return rankCandidates(name, [...byId.keys()])
    .flatMap((id) => byId.get(id) ?? [])
    .find(
      (wanted) =>
        round.present.has(wanted.engine.engineId) &&
        hasFreeSlot(round, wanted) &&
        presentOn(round, wanted.engine.engineId).every((one) => one.name !== name),
    );
}

/** The last engine with a name gets a stand-in first; without one the name stays as it is. */
function makeRoomElsewhere(round: Round, model: ModelVersion): void {
  const isLoading = [...round.present.values()].some((models) =>
    models.some((one) => isSame(one, model) && one.state === 'loading'),
  );
  if (isLoading || round.touchedNames.has(model.name)) return;
  const spare = spareEngine(round, model.name);
  if (spare === undefined) {
    round.blockedNames.add(model.name);
    return;
  }
  if (!mayLoad(round)) return;
  load(round, spare, model, 'stands in while the only engine with this name changes its version');
}

function replaceOldVersions(round: Round, { engine, models }: WantedEngine): void {
  for (const wanted of models) {
    const old = presentOn(round, engine.engineId).find(
      (one) => one.name === wanted.name && one.version !== wanted.version,
    );
    if (old === undefined || round.touchedNames.has(wanted.name)) continue;
    if (mayGiveUp(round, wanted.name, engine.engineId)) {
      unload(round, engine.engineId, old, 'makes room for another version of the same name');
    } else {
      makeRoomElsewhere(round, wanted);
    }
  }
}

function loadMissing(round: Round, wanted: WantedEngine): void {
  const { engineId } = wanted.engine;
  for (const model of wanted.models) {
    const isThere = presentOn(round, engineId).some((one) => one.name === model.name);
    if (isThere || !mayLoad(round) || !hasFreeSlot(round, wanted)) continue;
    load(round, wanted, model, 'wanted here and missing');
  }
}

/** Whether an engine has no slot left for something that it is to have. */
function lacksRoom(round: Round, wanted: WantedEngine): boolean {
  if (hasFreeSlot(round, wanted)) return false;
  const present = presentOn(round, wanted.engine.engineId);
  return wanted.models.some((model) => present.every((one) => one.name !== model.name));
}

/** What nobody wants on this engine goes, once those that are to have it do or its slot is needed. */
function unloadSurplus(round: Round, target: WantedEngine): void {
  const { engine, models } = target;
  for (const present of presentOn(round, engine.engineId)) {
    if (models.some((wanted) => wanted.name === present.name)) continue;
    if (round.touchedNames.has(present.name)) continue;
    const isWanted = round.plan.wantedCounts.has(present.name);
    const isSettled = !isWanted || isServedWherePlanned(round, present.name);
    if (!isSettled && !lacksRoom(round, target)) continue;
    if (!mayGiveUp(round, present.name, engine.engineId)) continue;
    unload(round, engine.engineId, present, isWanted ? 'moved elsewhere' : 'no longer wanted');
  }
  if (!lacksRoom(round, target)) return;
  const missing = models.find((model) =>
    presentOn(round, engine.engineId).every((one) => one.name !== model.name),
  );
  if (missing !== undefined) round.blockedNames.add(missing.name);
}

function isServedWherePlanned(round: Round, name: string): boolean {
  return round.plan.engines.every(({ engine, models }) => {
    const wanted = models.find((model) => model.name === name);
    if (wanted === undefined) return true;
    return presentOn(round, engine.engineId).some(
      (one) => isSame(one, wanted) && one.state === 'loaded',
    );
  });
}

/** One role changes at a time, and never the last engine of a role that is wanted. */
function changeOneRole(round: Round, sights: ReadonlyMap<string, EngineSight>): void {
  const roleOf = (engineId: string): EngineRole | undefined => sights.get(engineId)?.role;
  for (const { engine, role } of round.plan.engines) {
    const current = roleOf(engine.engineId);
    if (role === undefined || current === undefined || current === role) continue;
    const sharing = [...sights.values()].filter((sight) => sight.role === current).length;
    if (round.plan.wantedRoles.has(current) && sharing <= 1) continue;
    round.orders.push({
      order: { kind: 'setRole', engineId: engine.engineId, role },
      reason: `is ${current} and wanted as ${role}`,
    });
    return;
  }
}

/**
 * The next orders that bring the engines nearer to the plan; none once they are there.
 *
 * Answers changes of version and membership under steady traffic. Carrying a plan out at once unloads a name
 * everywhere before its next version is loaded anywhere, and lets every engine read the weight store in the same
 * moment. So names change one engine at a time, never the last that serves them, and loads keep the allowance.
 * The decision rests on one look alone, not on what was ordered before: whoever looks next decides the same.
 */
export function decideOrders({ plan, sights, loadsLeft }: OrderInput): OrderDecision {
  const round: Round = {
    plan,
    present: new Map([...sights].map(([engineId, sight]) => [engineId, [...sight.models]])),
    orders: [],
    touchedNames: new Set(),
    blockedNames: new Set(),
    allowedLoads: loadsLeft,
  };
  const seen = plan.engines.filter(({ engine }) => sights.has(engine.engineId));
  for (const wanted of seen) loadMissing(round, wanted);
  for (const wanted of seen) replaceOldVersions(round, wanted);
  for (const wanted of seen) unloadSurplus(round, wanted);
  changeOneRole(round, sights);
  return { orders: round.orders, blockedNames: [...round.blockedNames] };
}
