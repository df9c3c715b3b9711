import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { CompiledConfiguration, ConfigurationStore } from '../configuration';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { PauseGuard } from '../pauses';
import type { ServerHealth } from '../server-health';
import { decideOrders } from './decide-orders';
import type { EngineClient } from './engine-client';
import { ENGINE_ORDER_EVENTS } from './events';
import { isConfigurationOld, nextFencingNumber } from './fencing';
import { createLoadHistory } from './load-history';
import { planPlacement } from './plan-placement';
import type {
  DecidedOrder,
  EngineOrder,
  EngineSight,
  OrderAnswer,
  PlacedEngine,
  PlacementPlan,
} from './types';
import { loadAllowance } from './weight-budget';

/** What giving orders needs. */
export interface EngineOrdersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly region: string;
  readonly configuration: ConfigurationStore;
  readonly health: Pick<ServerHealth, 'isOnDuty' | 'healthState'>;
  readonly pauses: Pick<PauseGuard, 'requireFresh' | 'pauseCount' | 'isStale'>;
  readonly client: EngineClient;
}

/** Rest between rounds in which something was ordered or is still loading. */
const BUSY_INTERVAL_MS = 1_000;
const IDLE_INTERVAL_MS = 1_000;

/**
 * How long orders may rest on one look. An engine that ignores fencing numbers is protected by nothing else from
 * an order that was decided on what it had long ago.
 */
const LOOK_VALID_MS = 5_000;

/** What a round was decided under; an order is given only while all of it still holds. */
interface Grounds {
  readonly service: string;
  readonly configurationVersion: number;
  readonly pauseCount: number;
  readonly lookedAtMs: number;
}

/** One round's result. */
type RoundResult = 'converged' | 'busy';

function describe(order: EngineOrder) {
  switch (order.kind) {
    case 'load':
      return { model: order.model.name, version: order.model.version };
    case 'unload':
      return { model: order.name };
    case 'setRole':
      return { role: order.role };
    default:
      return order satisfies never;
  }
}

/** Services with wishes for this region. */
function servicesPlaced({ document }: CompiledConfiguration, region: string): readonly string[] {
  const { models, roles } = document.placement;
  const here = [...models, ...roles].filter((wanted) => wanted.region === region);
  return [...new Set(here.map((wanted) => wanted.service))].sort();
}

/**
 * Gives the engines of this region their orders, for those services whose sender this instance is just now.
 *
 * The sender of a service is the live instance that comes first in its rendezvous order. Views differ at times,
 * and then two instances send: both look first and decide the same, so the second finds the work done, is
 * refused by its fencing number, or repeats an order that changes nothing.
 */
export function runEngineOrders(options: EngineOrdersOptions): AsyncDisposable {
  const { clock, logger, region, configuration, health, pauses, client } = options;
  const stopping = new AbortController();
  const history = createLoadHistory();
  const downSinceMs = new Map<string, number>();
  const nextRoundAtMs = new Map<string, number>();
  const convergedVersions = new Map<string, number>();
  const blockedSince = new Map<string, number>();

  const isSender = (service: string) => health.isOnDuty(`orders/${service}`, 1);

  const unavailableEngines = ({ document }: CompiledConfiguration): ReadonlySet<string> => {
    const nowMs = clock.monotonicMs();
    const unavailable = new Set<string>();
    for (const { id } of document.backendServers) {
      const { kind } = health.healthState(id);
      if (kind === 'draining') unavailable.add(id);
      if (kind !== 'down') {
        downSinceMs.delete(id);
        continue;
      }
      const sinceMs = downSinceMs.get(id) ?? nowMs;
      downSinceMs.set(id, sinceMs);
      if (nowMs - sinceMs >= document.placement.replaceAfterMs) unavailable.add(id);
    }
    return unavailable;
  };

  const lookAt = async (engine: PlacedEngine): Promise<EngineSight | undefined> => {
    try {
      return await client.look(engine);
    } catch (error) {
      const reason = errorText(error);
      logger.event(ENGINE_ORDER_EVENTS.unreachable, { server: engine.engineId, reason });
      return undefined;
    }
  };

  const lookAtAll = async ({ engines }: PlacementPlan) => {
    const sights = await Promise.all(engines.map(({ engine }) => lookAt(engine)));
    return new Map(
      sights.flatMap((sight) => (sight === undefined ? [] : [[sight.engineId, sight]])),
    );
  };

  const stillHolds = (grounds: Grounds): boolean =>
    !stopping.signal.aborted &&
    !pauses.isStale() &&
    clock.monotonicMs() - grounds.lookedAtMs <= LOOK_VALID_MS &&
    pauses.pauseCount() === grounds.pauseCount &&
    configuration.current()?.version === grounds.configurationVersion &&
    isSender(grounds.service);

  const logAnswer = (decided: DecidedOrder, fencingNumber: number, answer: OrderAnswer) => {
    const { order, reason } = decided;
    const fields = {
      server: order.engineId,
      order: order.kind,
      ...describe(order),
      reason,
      fencingNumber,
    };
    switch (answer.kind) {
      case 'accepted':
        logger.event(ENGINE_ORDER_EVENTS.ordered, fields);
        return;
      case 'fenced':
        logger.event(ENGINE_ORDER_EVENTS.fenced, { ...fields, seen: answer.fencingNumber });
        return;
      case 'failed':
        logger.event(ENGINE_ORDER_EVENTS.failed, { ...fields, failure: answer.reason });
        return;
      default:
        answer satisfies never;
    }
  };

  /** Says once for each version of the configuration that a name is blocked. */
  const logBlocked = (service: string, version: number, names: readonly string[]) => {
    for (const model of names) {
      const key = `${service}\n${model}`;
      if (blockedSince.get(key) === version) continue;
      blockedSince.set(key, version);
      logger.event(ENGINE_ORDER_EVENTS.blocked, { service, model, version });
    }
  };

  /** Gives the orders of one round, each only while what it rests on still holds. */
  const giveOrders = async (
    orders: readonly DecidedOrder[],
    plan: PlacementPlan,
    sights: ReadonlyMap<string, EngineSight>,
    grounds: Grounds,
  ): Promise<void> => {
    const numbers = new Map([...sights].map(([id, sight]) => [id, sight.fencingNumber]));
    for (const decided of orders) {
      const { order } = decided;
      const engine = plan.engines.find((one) => one.engine.engineId === order.engineId)?.engine;
      if (engine === undefined || !stillHolds(grounds)) return;
      const { engineId } = engine;
      const fencingNumber = nextFencingNumber(numbers.get(engineId), plan.configurationVersion);
      if (order.kind === 'load') {
        history.noteOrdered(engineId, order.model, clock.monotonicMs());
      }
      const answer = await client.send(engine, order, fencingNumber);
      numbers.set(engineId, fencingNumber);
      logAnswer(decided, fencingNumber, answer);
    }
  };

  const runRound = async (
    service: string,
    current: CompiledConfiguration,
  ): Promise<RoundResult> => {
    const { document } = current;
    const grounds = {
      service,
      configurationVersion: current.version,
      pauseCount: pauses.pauseCount(),
      lookedAtMs: clock.monotonicMs(),
    };
    const plan = planPlacement({
      configuration: document,
      service,
      region,
      unavailable: unavailableEngines(current),
    });
    const sights = await lookAtAll(plan);
    const isOld = [...sights.values()].some(({ fencingNumber }) =>
      isConfigurationOld(fencingNumber, plan.configurationVersion),
    );
    if (isOld) {
      const fields = { service, version: plan.configurationVersion };
      logger.event(ENGINE_ORDER_EVENTS.configurationOld, fields);
      return 'busy';
    }
    const allowance = loadAllowance(document, service, region);
    const loadsLeft = history.loadsLeft(allowance, sights, clock.monotonicMs());
    const { orders, blockedNames } = decideOrders({ plan, sights, loadsLeft });
    logBlocked(service, current.version, blockedNames);
    await giveOrders(orders, plan, sights, grounds);
    return orders.length === 0 && hasAll(plan, sights) ? 'converged' : 'busy';
  };

  const noteResult = (service: string, version: number, result: RoundResult) => {
    if (result === 'busy') {
      convergedVersions.delete(service);
      return;
    }
    if (convergedVersions.get(service) === version) return;
    convergedVersions.set(service, version);
    logger.event(ENGINE_ORDER_EVENTS.converged, { service, version });
  };

  const runDue = async (current: CompiledConfiguration): Promise<void> => {
    for (const service of servicesPlaced(current, region)) {
      const isDue = (nextRoundAtMs.get(service) ?? 0) <= clock.monotonicMs();
      if (!isDue || !isSender(service) || stopping.signal.aborted) continue;
      const result = await runRound(service, current);
      noteResult(service, current.version, result);
      const restMs =
        result === 'busy' ? BUSY_INTERVAL_MS : current.document.placement.lookIntervalMs;
      nextRoundAtMs.set(service, clock.monotonicMs() + restMs);
    }
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const current = configuration.current();
      const isFresh = (await pauses.requireFresh()) === 'fresh';
      if (isFresh && current !== undefined) await runDue(current);
      await sleepUntil(clock, clock.monotonicMs() + IDLE_INTERVAL_MS, stopping.signal);
    }
  };

  const changes = configuration.onChange(() => nextRoundAtMs.clear());
  const task = run();
  return {
    async [Symbol.asyncDispose]() {
      stopping.abort();
      changes[Symbol.dispose]();
      await task;
    },
  };
}

/** Whether every engine of the plan was seen and serves all that it is to have. */
function hasAll({ engines }: PlacementPlan, sights: ReadonlyMap<string, EngineSight>): boolean {
  return engines.every(({ engine, models, role }) => {
    const sight = sights.get(engine.engineId);
    if (sight === undefined || (role !== undefined && sight.role !== role)) return false;
    return models.every((wanted) =>
      sight.models.some(
        (one) =>
          one.name === wanted.name && one.version === wanted.version && one.state === 'loaded',
      ),
    );
  });
}
