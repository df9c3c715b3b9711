import {
  INITIAL_LIMIT_REQUESTS,
  STRETCH_TOLERANCE,
  createAdaptiveLimit,
  createLatencyBaseline,
  createRetrySlots,
  createServiceRate,
  decideAdmission,
} from '../admission';
import type { AdaptiveLimit } from '../admission';
import type { Priority } from '../configuration';
import { createFairQueue, createStandingQueueDetector } from '../queueing';
import type { QueueEntry } from '../queueing';
import {
  chooseServer,
  chooseSparseServer,
  createLongPromptPartition,
  createPrefixIndex,
  createServerPool,
} from '../routing';
import type { ServerChoice, ServerChoiceInput, ServerState } from '../routing';
import { createOutputEstimator, engineWork } from '../work';
import type {
  Placement,
  RefusalReason,
  ScheduledRequest,
  SchedulerOptions,
  ServiceScheduler,
} from './types';

/** Assumed size of a request until one has ended, units. */
const INITIAL_REQUEST_UNITS = { engine: 2_000, plain: 1 } as const;

/** Utilisation of a server up to which its answers may raise the latency baseline. */
const MAX_BASELINE_UTILISATION = 0.5;

/** Requests waiting in a server's own queue, as a share of those it runs, above which its limit decreases. */
const MAX_SERVER_QUEUE_SHARE = 0.1;

/**
 * Maximum number of requests without a usable server that are skipped per round, so that they don't block the rest.
 */
const MAX_SKIPPED = 4;

/** Creates a scheduler of one service without servers; `replaceServers` sets them. */
export function createServiceScheduler<Item>(options: SchedulerOptions): ServiceScheduler<Item> {
  const { kind, random, ownFailureDomain } = options;
  const initialRequestUnits = INITIAL_REQUEST_UNITS[kind];
  const limitOptions = {
    initialRequestUnits,
    tolerance: STRETCH_TOLERANCE[kind],
    ...(options.limitRule === undefined ? {} : { rule: options.limitRule }),
  };
  const pool = createServerPool(() => createAdaptiveLimit(limitOptions));
  const prefixIndex = createPrefixIndex();
  const longPrompts = createLongPromptPartition();
  const outputEstimator = createOutputEstimator();
  const baseline = createLatencyBaseline();
  const serviceRate = createServiceRate();
  const retrySlots = createRetrySlots();
  const maxStandingWaits = {
    interactive: options.standingWaitMs,
    batch: Math.max(options.standingWaitMs, options.batchLongestWaitMs),
  };
  const standingQueue = createStandingQueueDetector(maxStandingWaits);
  const queue = createFairQueue<ScheduledRequest<Item>>(options);
  const entries = new Map<ScheduledRequest<Item>, QueueEntry<ScheduledRequest<Item>>>();
  const createServiceLimit = (servers: number): AdaptiveLimit =>
    createAdaptiveLimit({
      ...limitOptions,
      tolerance: STRETCH_TOLERANCE.service,
      initialLimitRequests: INITIAL_LIMIT_REQUESTS * Math.max(1, servers),
    });
  let serviceLimit = createServiceLimit(1);

  const choiceInput = (request: ScheduledRequest<Item>, nowMs: number): ServerChoiceInput => ({
    kind,
    pool,
    prefixIndex,
    longPrompts,
    work: request.work,
    ownFailureDomain,
    random,
    nowMs,
    waitedMs: nowMs - request.arrivedAtMs,
    mayUse: request.mayUse,
  });

  const choose = (request: ScheduledRequest<Item>, nowMs: number): ServerChoice | undefined =>
    serviceLimit.hasCapacity() ? chooseServer(choiceInput(request, nowMs)) : undefined;

  /** Chooses a server for interactive work of callers with sparse flows while requests of others wait. */
  const chooseForSparse = (
    request: ScheduledRequest<Item>,
    nowMs: number,
  ): ServerChoice | undefined => {
    const { priority, callerId, work } = request;
    if (priority !== 'interactive') return undefined;
    const choice = chooseSparseServer(choiceInput(request, nowMs));
    if (choice === undefined) return undefined;
    return queue.takeSparseTurn(priority, callerId, work.units) ? choice : undefined;
  };

  const begin = (
    request: ScheduledRequest<Item>,
    choice: ServerChoice,
    nowMs: number,
  ): Placement<Item> => {
    const { server, prefillTokens } = choice;
    const { work, arrivedAtMs } = request;
    const utilisation = server.utilisation(nowMs);
    const open = { units: work.units, begunAtMs: nowMs, prefillTokens };
    server.begin(open);
    server.limit.begin(work.units);
    serviceLimit.begin(work.units);
    pool.refresh(server);
    longPrompts.recordWork(work);
    prefixIndex.recordSent(server.serverId, work.prefixes, nowMs);
    return { request, choice, open, utilisation, waitedMs: nowMs - arrivedAtMs };
  };

  const expectedServiceMs = (units: number): number =>
    (baseline.expectedMs(units) ?? 0) * Math.max(1, serviceLimit.stretch());

  const unitsPerMs = (): number =>
    serviceRate.unitsPerMs(
      Math.max(
        serviceLimit.inFlightUnits(),
        Math.min(pool.limitUnits(), serviceLimit.limitUnits()),
      ),
    );

  const expectedWaitMs = ({ priority, callerId, work }: ScheduledRequest<Item>): number => {
    if (queue.size() === 0) return 0;
    const rateUnitsPerMs = unitsPerMs();
    if (rateUnitsPerMs === 0) return 0;
    return (queue.unitsAhead(priority, callerId, work.units) + work.units) / rateUnitsPerMs;
  };

  const refuse = (
    request: ScheduledRequest<Item>,
    reason: RefusalReason,
    waitMs: number,
    excessMs: number,
    nowMs: number,
  ) => ({
    kind: 'refuse' as const,
    reason,
    expectedWaitMs: waitMs,
    retryAtMs: retrySlots.next(request.work.units, excessMs, unitsPerMs(), nowMs),
  });

  const evaluateAdmission = (request: ScheduledRequest<Item>, waitMs: number, nowMs: number) =>
    decideAdmission({
      nowMs,
      deadlineAtMs: request.deadlineAtMs,
      expectedWaitMs: waitMs,
      expectedServiceMs: expectedServiceMs(request.work.units),
      isQueueStanding: standingQueue.isStanding(request, nowMs),
      standingWaitMs: maxStandingWaits[request.priority],
    });

  const canAnyServerServe = (request: ScheduledRequest<Item>): boolean =>
    pool.all().some(({ serverId }) => request.mayUse(serverId));

  const recordAnswer = ({ request, choice, open, utilisation }: Placement<Item>, nowMs: number) => {
    const { units } = request.work;
    const { limit } = choice.server;
    const latencyMs = nowMs - open.begunAtMs;
    const isAlone = limit.inFlightRequests() <= 1;
    baseline.learn(units, latencyMs, utilisation < MAX_BASELINE_UTILISATION || isAlone);
    serviceRate.learn(units, latencyMs);
    return { latencyMs, expectedMs: baseline.expectedMs(units) ?? latencyMs };
  };

  const recordTurn = (request: ScheduledRequest<Item>, nowMs: number) => {
    standingQueue.recordTurn(request, nowMs - request.arrivedAtMs, nowMs);
  };

  const canSkip = (request: ScheduledRequest<Item>): boolean =>
    serviceLimit.hasCapacity() && pool.available().size() > 0 && entries.has(request);

  return {
    estimate: (demand) => engineWork(demand, outputEstimator.estimate(demand.maxOutputTokens)),
    offer(request, nowMs) {
      const { work, deadlineAtMs } = request;
      if (queue.size() === 0) {
        const choice = choose(request, nowMs);
        const serviceMs = baseline.expectedMs(work.units) ?? 0;
        if (nowMs + serviceMs > deadlineAtMs) {
          return refuse(request, 'deadline-too-near', 0, 0, nowMs);
        }
        if (choice !== undefined) {
          recordTurn(request, nowMs);
          return { kind: 'run', placement: begin(request, choice, nowMs) };
        }
      }
      const sparse = chooseForSparse(request, nowMs);
      if (sparse !== undefined) return { kind: 'run', placement: begin(request, sparse, nowMs) };
      if (!canAnyServerServe(request)) return refuse(request, 'no-server', 0, 0, nowMs);
      const waitMs = expectedWaitMs(request);
      const decision = evaluateAdmission(request, waitMs, nowMs);
      if (decision.kind === 'refuse') {
        return refuse(request, decision.reason, waitMs, decision.excessMs, nowMs);
      }
      const entry = {
        item: request,
        callerId: request.callerId,
        priority: request.priority,
        units: work.units,
        arrivedAtMs: request.arrivedAtMs,
        latestStartAtMs: decision.latestStartAtMs,
      };
      entries.set(request, entry);
      queue.push(entry);
      return { kind: 'wait', expectedWaitMs: waitMs };
    },
    takeReady(nowMs) {
      const ready: Placement<Item>[] = [];
      const skipped: QueueEntry<ScheduledRequest<Item>>[] = [];
      let blocked: Priority | undefined;
      for (;;) {
        const entry = queue.peek(nowMs, blocked);
        if (entry === undefined) break;
        const request = entry.item;
        const choice = choose(request, nowMs);
        if (choice !== undefined) {
          queue.shift(nowMs, blocked);
          entries.delete(request);
          recordTurn(request, nowMs);
          ready.push(begin(request, choice, nowMs));
        } else if (canSkip(request) && skipped.length < MAX_SKIPPED) {
          queue.remove(entry);
          skipped.push(entry);
        } else if (blocked === undefined && serviceLimit.hasCapacity()) blocked = entry.priority;
        else break;
      }
      skipped.forEach((entry) => queue.push(entry));
      return ready;
    },
    takeExpired: (nowMs) =>
      queue.takeExpired(nowMs).map(({ item }) => {
        entries.delete(item);
        const retryAtMs = retrySlots.next(item.work.units, 0, unitsPerMs(), nowMs);
        return { request: item, retryAtMs };
      }),
    nextExpiryAtMs: () => queue.nextExpiryAtMs(),
    remove(request) {
      const entry = entries.get(request);
      if (entry === undefined) return;
      entries.delete(request);
      queue.remove(entry);
    },
    recordFirstByte: ({ choice, open }) => choice.server.firstByte(open),
    end(placement, result, nowMs) {
      const { choice, open, request } = placement;
      const { server } = choice;
      const end =
        result === 'answered'
          ? ({ kind: 'answered', ...recordAnswer(placement, nowMs) } as const)
          : ({ kind: 'withoutAnswer' } as const);
      server.end(open);
      server.limit.end(request.work.units, end, nowMs);
      serviceLimit.end(request.work.units, end, nowMs);
      pool.refresh(server);
    },
    recordOutput({ request }, outputTokens) {
      outputEstimator.learn(request.work.maxOutputTokens, outputTokens);
    },
    recordReport(serverId, report, nowMs) {
      const server: ServerState | undefined = pool.get(serverId);
      if (server === undefined) return;
      server.recordReport(report);
      const { waitingRequests, runningRequests } = report;
      if (waitingRequests <= MAX_SERVER_QUEUE_SHARE * runningRequests) return;
      server.limit.decreaseForServerQueue(report.atMs, nowMs);
      pool.refresh(server);
    },
    recordCacheEvent: (event) => prefixIndex.applyEvent(event),
    removeCacheRecords: (serverId) => prefixIndex.removeServer(serverId),
    replaceServers(servers) {
      pool.replace(servers);
      longPrompts.setServerCount(servers.length);
      if (serviceLimit.inFlightRequests() > 0) return;
      serviceLimit = createServiceLimit(servers.length);
    },
    canServe: canAnyServerServe,
    outlook(request, nowMs) {
      const runsNow = queue.size() === 0 && choose(request, nowMs) !== undefined;
      const waitMs = runsNow ? 0 : expectedWaitMs(request);
      return {
        wouldRefuse: !runsNow && evaluateAdmission(request, waitMs, nowMs).kind === 'refuse',
        expectedWaitMs: waitMs,
        expectedServiceMs: expectedServiceMs(request.work.units),
        utilisation: serviceLimit.inFlightUnits() / Math.max(1, pool.limitUnits()),
        waitingRequests: queue.size(),
      };
    },
  };
}
