import { createSeededRandom, pickIndex } from '../../../src/core/random';
import { createEventQueue } from './event-queue';
import { createFakeEngine } from './fake-engine';
import { createFakePlainServer } from './fake-plain-server';
import type { CacheListener, FakeServer } from './fake-server';
import { createFakeNetwork } from './network';
import { createRecorder } from './recorder';
import type { CallerRequest } from './recorder';
import type { RunResult } from './results';
import type {
  CallerSpec,
  Fault,
  InstanceSpec,
  LoadRequest,
  Policy,
  PolicyActions,
  PolicyFactory,
  Scenario,
  ServerSpec,
  WorkSize,
} from './types';
import { openVisit } from './visits';
import type { Visit, VisitListener, VisitWorld } from './visits';

/** Seeds of the parts of a run lie this far apart, so that no two share their draws. */
const SEED_STRIDE = 7_919;

interface RunningInstance {
  readonly spec: InstanceSpec;
  readonly policy: Policy;
  readonly visits: Map<number, Visit>;
}

/** Runs `scenario` under one policy; the same scenario and policy give the same result each time. */
export function runScenario(scenario: Scenario, factory: PolicyFactory): RunResult {
  const queue = createEventQueue();
  const network = createFakeNetwork(scenario);
  const recorder = createRecorder(scenario);
  const reportRandom = createSeededRandom(scenario.seed + 1);
  const retryRandom = createSeededRandom(scenario.seed + 2);
  const seenPrefixes = new Map<string, number>();
  const silentServers = new Set<string>();
  const instances = new Map<string, RunningInstance>();
  const servers = new Map<string, { readonly spec: ServerSpec; readonly server: FakeServer }>();
  let nextRequestId = 1;

  const inRegion = (region: string) =>
    [...instances.values()].filter(({ spec }) => spec.region === region);

  const isLost = () => reportRandom.next() < scenario.reports.lostShare;

  const tellCache = (
    { serverId, region }: ServerSpec,
    kind: 'stored' | 'evicted',
    prefixKey: string,
    tokens: number,
  ) => {
    if (silentServers.has(serverId) || isLost()) return;
    const event = { serverId, atMs: queue.nowMs(), kind, prefixKey, tokens };
    queue.after(scenario.reports.lagMs, () =>
      inRegion(region).forEach(({ policy }) => policy.onCacheEvent?.(event)),
    );
  };

  const cacheListenerFor = (spec: ServerSpec): CacheListener => ({
    stored(prefixKey, tokens) {
      seenPrefixes.set(prefixKey, tokens);
      tellCache(spec, 'stored', prefixKey, tokens);
    },
    evicted: (prefixKey) => tellCache(spec, 'evicted', prefixKey, 0),
    wasComputedBefore(prefixKey) {
      const tokens = seenPrefixes.get(prefixKey);
      if (tokens === undefined) return false;
      recorder.prefixRecomputed(tokens, queue.nowMs());
      return true;
    },
  });

  for (const spec of scenario.servers) {
    const server =
      spec.kind === 'engine'
        ? createFakeEngine(spec, queue, cacheListenerFor(spec))
        : createFakePlainServer(spec, queue);
    servers.set(spec.serverId, { spec, server });
  }

  const found = <Item>(item: Item | undefined, what: string): Item => {
    if (item === undefined) throw new Error(`The scenario has no ${what}`);
    return item;
  };

  const world: VisitWorld = {
    queue,
    network,
    restartMs: scenario.restartMs,
    server(serverId) {
      const { spec, server } = found(servers.get(serverId), serverId);
      return { region: spec.region, server };
    },
    visitPeer: (instanceId, request, work, listener) =>
      visit(found(instances.get(instanceId), instanceId), request, work, listener),
    regionOf: (instanceId) => found(instances.get(instanceId), instanceId).spec.region,
  };

  function visit(
    instance: RunningInstance,
    request: LoadRequest,
    work: WorkSize,
    listener: VisitListener,
  ): Visit {
    const forget = () => instance.visits.delete(request.requestId);
    const opened = openVisit(world, instance.spec, instance.policy, request, work, {
      ...listener,
      answered(region) {
        forget();
        listener.answered(region);
      },
      refused(retryAtMs) {
        forget();
        listener.refused(retryAtMs);
      },
    });
    instance.visits.set(request.requestId, opened);
    queue.at(request.deadlineAtMs, () => {
      opened.giveUp();
      forget();
    });
    instance.policy.onRequest(request);
    return opened;
  }

  const actionsOf = (spec: InstanceSpec): PolicyActions => {
    const visitOf = ({ requestId }: LoadRequest): Visit =>
      found(instances.get(spec.instanceId)?.visits.get(requestId), `open request ${requestId}`);
    return {
      nowMs: () => queue.nowMs(),
      send: (request, serverId) => visitOf(request).send(serverId),
      forward: (request, instanceId) => visitOf(request).forward(instanceId),
      refuse: (request, _reason, retryAtMs) => visitOf(request).refuse(retryAtMs),
      cancel: (request, serverId) => visitOf(request).cancelAttempt(serverId),
      wakeAt: (atMs, callback) => queue.at(atMs, callback),
      broadcast(topic, payload, regions) {
        const message = { fromInstanceId: spec.instanceId, topic, payload };
        for (const other of instances.values()) {
          const { region } = other.spec;
          const isMeant = other.spec !== spec && (regions?.includes(region) ?? true);
          if (!isMeant || network.isParted(spec.region, region)) continue;
          queue.after(network.delayMs(spec.region, region), () =>
            other.policy.onPeerMessage?.(message),
          );
        }
      },
    };
  };

  scenario.instances.forEach((spec, index) => {
    const policy = factory.create({
      instance: spec,
      instances: scenario.instances,
      servers: scenario.servers,
      weights: scenario.weights,
      random: createSeededRandom(scenario.seed + SEED_STRIDE * (index + 1)),
      actions: actionsOf(spec),
    });
    instances.set(spec.instanceId, { spec, policy, visits: new Map() });
  });

  const couldHaveBegun = (caller: CallerSpec): boolean =>
    [...servers.values()].some(
      ({ spec, server }) =>
        spec.service === caller.service &&
        caller.allowedRegions.includes(spec.region) &&
        server.hasRoom(),
    );

  const tryOnce = (
    callerRequest: CallerRequest,
    tries: number,
    fingerprint: string,
    work: WorkSize,
    draw: number,
  ) => {
    const { caller } = callerRequest;
    const entries = inRegion(caller.homeRegion);
    const entry = found(entries[Math.floor(draw * entries.length)], `entry for ${caller.callerId}`);
    const arrivedAtMs = queue.nowMs();
    const deadlineAtMs = arrivedAtMs + caller.deadlineMs;
    const request: LoadRequest = {
      requestId: nextRequestId,
      fingerprint,
      callerId: caller.callerId,
      service: caller.service,
      priority: caller.priority,
      homeRegion: caller.homeRegion,
      allowedRegions: caller.allowedRegions,
      repeatable: caller.repeatable,
      promptTokens: work.promptTokens,
      maxOutputTokens: work.maxOutputTokens,
      prefixKey: work.prefixKey,
      prefixTokens: work.prefixTokens ?? 0,
      arrivedAtMs,
      deadlineAtMs,
      fromInstanceId: undefined,
    };
    nextRequestId += 1;
    let isOver = false;
    let hasFirstToken = false;

    const comeBack = (retryAtMs: number | undefined) => {
      const { retry } = caller;
      if (retry.kind === 'never' || tries >= retry.maxTries) return;
      const delayedToMs = queue.nowMs() + retry.delayMs;
      const atMs = retry.kind === 'atRetryTime' ? (retryAtMs ?? delayedToMs) : delayedToMs;
      queue.at(atMs, () =>
        tryOnce(callerRequest, tries + 1, fingerprint, work, retryRandom.next()),
      );
    };

    queue.at(deadlineAtMs, () => {
      if (isOver) return;
      isOver = true;
      recorder.expired(callerRequest);
      comeBack(undefined);
    });
    visit(entry, request, work, {
      firstToken() {
        if (!hasFirstToken) recorder.firstToken(callerRequest, queue.nowMs());
        hasFirstToken = true;
      },
      answered(region) {
        isOver = true;
        recorder.answered(callerRequest, arrivedAtMs, queue.nowMs(), region);
      },
      refused(retryAtMs) {
        isOver = true;
        const delayMs = queue.nowMs() - arrivedAtMs;
        recorder.refused(callerRequest, delayMs, couldHaveBegun(caller));
        comeBack(retryAtMs);
      },
      sent: () => recorder.sent(callerRequest, queue.nowMs() - arrivedAtMs),
      crashedServer: () => recorder.serverCrashed(fingerprint),
    });
  };

  scenario.callers.forEach((caller, callerIndex) => {
    const random = createSeededRandom(scenario.seed * SEED_STRIDE + callerIndex);
    let drawn = 0;
    caller.arrivals.forEach(({ fromMs, untilMs, perSecond }) => {
      const arrive = () => {
        if (queue.nowMs() >= untilMs) return;
        const work = caller.drawWork(random);
        const draw = random.next();
        drawn += 1;
        const callerRequest = { caller, firstArrivedAtMs: queue.nowMs() };
        recorder.offered(callerRequest);
        const gapMs = (-Math.log(1 - random.next()) / perSecond) * 1000;
        queue.after(gapMs, arrive);
        tryOnce(callerRequest, 1, `${caller.callerId}/${drawn}`, work, draw);
      };
      if (perSecond > 0) queue.at(fromMs, arrive);
    });
  });

  const applyFault = (fault: Fault) => {
    switch (fault.kind) {
      case 'slow':
        found(servers.get(fault.serverId), fault.serverId).server.setSlowFactor(fault.factor);
        return;
      case 'crash':
        found(servers.get(fault.serverId), fault.serverId).server.crash();
        return;
      case 'recover':
        found(servers.get(fault.serverId), fault.serverId).server.recover();
        return;
      case 'reportsStop':
        silentServers.add(fault.serverId);
        return;
      case 'reportsResume':
        silentServers.delete(fault.serverId);
        return;
      case 'partition':
        network.part(fault.regions);
        return;
      case 'heal':
        network.heal(fault.regions);
        return;
      default:
        fault satisfies never;
    }
  };
  scenario.faults.forEach((fault) => queue.at(fault.atMs, () => applyFault(fault)));

  const endMs = scenario.durationMs + scenario.drainMs;
  const report = ({ spec, server }: { spec: ServerSpec; server: FakeServer }) => {
    if (server.isUp && !silentServers.has(spec.serverId) && !isLost()) {
      const loadReport = { serverId: spec.serverId, atMs: queue.nowMs(), ...server.load() };
      queue.after(scenario.reports.lagMs, () =>
        inRegion(spec.region).forEach(({ policy }) => policy.onLoadReport?.(loadReport)),
      );
    }
    queue.after(scenario.reports.intervalMs, () => report({ spec, server }));
  };
  [...servers.values()].forEach((entry, index) =>
    queue.at(pickIndex(reportRandom, scenario.reports.intervalMs) + index / servers.size, () =>
      report(entry),
    ),
  );

  queue.run(endMs);
  return recorder.result(
    factory.name,
    [...servers.values()].map(({ server }) => server),
  );
}
