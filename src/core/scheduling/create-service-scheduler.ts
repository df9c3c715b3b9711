import {
  FIRST_LIMIT_REQUESTS,
  STRETCH_TOLERANCE,
  createAdaptiveLimit,
  createLatencyBaseline,
  createRetrySlots,
  createServiceRate,
  decideAdmission,
} from '../admission';
import type { AdaptiveLimit } from '../admission';
import type { Priority } from '../configuration';
import { createFairQueue, createStandingQueue } from '../queueing';
import type { QueueEntry } from '../queueing';
import {
  chooseServer,
  chooseSparseServer,
  createLongPrompts,
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

/** Size of a request, as long as none was seen, units. */
const FIRST_REQUEST_UNITS = { engine: 2_000, plain: 1 } as const;

/** Use of a server up to which its answers may raise the baseline of latency. */
const LITTLE_USE = 0.5;

/** Requests in a server's own queue, as a share of those it runs, from which its limit shrinks. */
const SERVER_QUEUE_SHARE = 0.1;

/** Requests without a usable server that are passed over in one round, so that they don't hold up the rest. */
const MOST_PASSED_OVER = 4;

/** A scheduler of one service; its servers are told by `replaceServers`. */
export function createServiceScheduler<Item>(options: SchedulerOptions): ServiceScheduler<Item> {
  const { kind, random, ownFailureDomain } = options;
  const firstRequestUnits = FIRST_REQUEST_UNITS[kind];
  const limitOptions = {
    firstRequestUnits,
    tolerance: STRETCH_TOLERANCE[kind],
    ...(options.limitRule === undefined ? {} : { rule: options.limitRule }),
  };
  const pool = createServerPool(() => createAdaptiveLimit(limitOptions));
  const prefixIndex = createPrefixIndex();
  const longPrompts = createLongPrompts();
  const outputs = createOutputEstimator();
  const baseline = createLatencyBaseline();
  const rate = createServiceRate();
  const retrySlots = createRetrySlots();
  const longestWaits = {
    interactive: options.standingWaitMs,
    batch: Math.max(options.standingWaitMs, options.batchLongestWaitMs),
  };
  const standing = createStandingQueue(longestWaits);
  const queue = createFairQueue<ScheduledRequest<Item>>(options);
  const entries = new Map<ScheduledRequest<Item>, QueueEntry<ScheduledRequest<Item>>>();
  const createServiceLimit = (servers: number): AdaptiveLimit =>
    createAdaptiveLimit({
      ...limitOptions,
      tolerance: STRETCH_TOLERANCE.service,
      firstLimitRequests: FIRST_LIMIT_REQUESTS * Math.max(1, servers),
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
    serviceLimit.hasRoom() ? chooseServer(choiceInput(request, nowMs)) : undefined;

  /** For interactive work of light callers while others' waits. */
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
    longPrompts.note(work);
    prefixIndex.noteSent(server.serverId, work.prefixes, nowMs);
    return { request, choice, open, utilisation, waitedMs: nowMs - arrivedAtMs };
  };

  const expectedServiceMs = (units: number): number =>
    (baseline.expectedMs(units) ?? 0) * Math.max(1, serviceLimit.stretch());

  const unitsPerMs = (): number =>
    rate.unitsPerMs(
      Math.max(
        serviceLimit.inFlightUnits(),
        Math.min(pool.limitUnits(), serviceLimit.limitUnits()),
      ),
    );

  const expectedWaitMs = ({ priority, callerId, work }: ScheduledRequest<Item>): number => {
    if (queue.size() === 0) return 0;
    const unitsEachMs = unitsPerMs();
    if (unitsEachMs === 0) return 0;
    return (queue.unitsAhead(priority, callerId, work.units) + work.units) / unitsEachMs;
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

  const admission = (request: ScheduledRequest<Item>, waitMs: number, nowMs: number) =>
    decideAdmission({
      nowMs,
      deadlineAtMs: request.deadlineAtMs,
      expectedWaitMs: waitMs,
      expectedServiceMs: expectedServiceMs(request.work.units),
      isQueueStanding: standing.isStanding(request, nowMs),
      standingWaitMs: longestWaits[request.priority],
    });

  const mayAnyServe = (request: ScheduledRequest<Item>): boolean =>
    pool.all().some(({ serverId }) => request.mayUse(serverId));

  const learn = ({ request, choice, open, utilisation }: Placement<Item>, nowMs: number) => {
    const { units } = request.work;
    const { limit } = choice.server;
    const latencyMs = nowMs - open.begunAtMs;
    const isAlone = limit.inFlightRequests() <= 1;
    baseline.learn(units, latencyMs, utilisation < LITTLE_USE || isAlone);
    rate.learn(units, latencyMs);
    return { latencyMs, expectedMs: baseline.expectedMs(units) ?? latencyMs };
  };

  const noteTurn = (request: ScheduledRequest<Item>, nowMs: number) => {
    standing.noteTurn(request, nowMs - request.arrivedAtMs, nowMs);
  };

  const passOver = (request: ScheduledRequest<Item>): boolean =>
    serviceLimit.hasRoom() && pool.roomy().size() > 0 && entries.has(request);

  return {
    estimate: (demand) => engineWork(demand, outputs.estimate(demand.maxOutputTokens)),
    offer(request, nowMs) {
      const { work, deadlineAtMs } = request;
      if (queue.size() === 0) {
        const choice = choose(request, nowMs);
        const serviceMs = baseline.expectedMs(work.units) ?? 0;
        if (nowMs + serviceMs > deadlineAtMs) {
          return refuse(request, 'deadline-too-near', 0, 0, nowMs);
        }
        if (choice !== undefined) {
          noteTurn(request, nowMs);
          return { kind: 'run', placement: begin(request, choice, nowMs) };
        }
      }
      const sparse = chooseForSparse(request, nowMs);
      if (sparse !== undefined) return { kind: 'run', placement: begin(request, sparse, nowMs) };
      if (!mayAnyServe(request)) return refuse(request, 'no-server', 0, 0, nowMs);
      const waitMs = expectedWaitMs(request);
      const decision = admission(request, waitMs, nowMs);
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
      const passedOver: QueueEntry<ScheduledRequest<Item>>[] = [];
      let blocked: Priority | undefined;
      for (;;) {
        const entry = queue.peek(nowMs, blocked);
        if (entry === undefined) break;
        const request = entry.item;
        const choice = choose(request, nowMs);
        if (choice !== undefined) {
          queue.shift(nowMs, blocked);
          entries.delete(request);
          noteTurn(request, nowMs);
          ready.push(begin(request, choice, nowMs));
        } else if (passOver(request) && passedOver.length < MOST_PASSED_OVER) {
          queue.remove(entry);
          passedOver.push(entry);
        } else if (blocked === undefined && serviceLimit.hasRoom()) blocked = entry.priority;
        else break;
      }
      passedOver.forEach((entry) => queue.push(entry));
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
    firstByte: ({ choice, open }) => choice.server.firstByte(open),
    end(placement, result, nowMs) {
      const { choice, open, request } = placement;
      const { server } = choice;
      const end =
        result === 'answered'
          ? ({ kind: 'answered', ...learn(placement, nowMs) } as const)
          : ({ kind: 'withoutAnswer' } as const);
      server.end(open);
      server.limit.end(request.work.units, end, nowMs);
      serviceLimit.end(request.work.units, end, nowMs);
      pool.refresh(server);
    },
    noteOutput({ request }, outputTokens) {
      outputs.learn(request.work.maxOutputTokens, outputTokens);
    },
    noteReport(serverId, report, nowMs) {
      const server: ServerState | undefined = pool.get(serverId);
      if (server === undefined) return;
      server.noteReport(report);
      const { waitingRequests, runningRequests } = report;
      if (waitingRequests <= SERVER_QUEUE_SHARE * runningRequests) return;
      server.limit.noteServerQueue(report.atMs, nowMs);
      pool.refresh(server);
    },
    noteCacheEvent: (event) => prefixIndex.noteEvent(event),
    forgetCache: (serverId) => prefixIndex.forgetServer(serverId),
    replaceServers(servers) {
      pool.replace(servers);
      longPrompts.setServers(servers.length);
      if (serviceLimit.inFlightRequests() > 0) return;
      serviceLimit = createServiceLimit(servers.length);
    },
    canServe: mayAnyServe,
    outlook(request, nowMs) {
      const runsNow = queue.size() === 0 && choose(request, nowMs) !== undefined;
      const waitMs = runsNow ? 0 : expectedWaitMs(request);
      return {
        wouldRefuse: !runsNow && admission(request, waitMs, nowMs).kind === 'refuse',
        expectedWaitMs: waitMs,
        expectedServiceMs: expectedServiceMs(request.work.units),
        utilisation: serviceLimit.inFlightUnits() / Math.max(1, pool.limitUnits()),
        waitingRequests: queue.size(),
      };
    },
  };
}
