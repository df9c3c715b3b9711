import { createServiceScheduler } from '../../../src/core/scheduling';
import type {
  Offer,
  Outlook,
  Placement,
  ScheduledRequest,
  SchedulerOptions,
  ServiceScheduler,
} from '../../../src/core/scheduling';
import { PLAIN_WORK } from '../../../src/core/work';
import type {
  AttemptEnd,
  LoadRequest,
  Policy,
  PolicyFactory,
  PolicySetup,
  ServerSpec,
} from '../harness';

/** What a measurement may change of the project's own decisions. */
export type SchedulerChanges = Partial<
  Pick<SchedulerOptions, 'limitRule' | 'batchShare' | 'batchLongestWaitMs' | 'standingWaitMs'>
>;

/** A policy whose servers may change, as those of a running instance do. */
export interface SchedulerPolicy extends Policy {
  /** From now on these of the region's servers may be used. */
  useServers(serverIds: ReadonlySet<string>): void;
}

/** Where another decision may step in; each returns whether it took the request over. */
export interface SchedulerHooks {
  /** Asked before a request is offered to the scheduler. */
  readonly before: (item: LoadRequest, outlook: Outlook) => boolean;
  /** Asked when the scheduler would have it wait or refused; `outlook` is from before. */
  readonly instead: (
    item: LoadRequest,
    offer: Exclude<Offer<LoadRequest>, { kind: 'run' }>,
    outlook: Outlook,
  ) => boolean;
  /** Asked when a try has failed, before the request is refused. */
  readonly failed: (item: LoadRequest, end: AttemptEnd) => boolean;
  /** Told of a request that begins at home. */
  readonly began: (item: LoadRequest, outlook: Outlook) => void;
}

const DEFAULTS = { batchShare: 0.2, batchLongestWaitMs: 20_000, standingWaitMs: 500 };

type Item = LoadRequest;

/** The servers of one service in the region of an instance, with the scheduler that decides over them. */
interface ScheduledService {
  readonly kind: ServerSpec['kind'];
  readonly scheduler: ServiceScheduler<Item>;
}

function createServices(
  { servers, instance, random }: PolicySetup,
  changes: SchedulerChanges,
): ReadonlyMap<string, ScheduledService> {
  const services = new Map<string, ScheduledService>();
  const local = servers.filter(({ region }) => region === instance.region);
  for (const { service, kind } of local) {
    if (services.has(service)) continue;
    const scheduler = createServiceScheduler<Item>({
      kind,
      ownFailureDomain: instance.failureDomain,
      random,
      ...DEFAULTS,
      ...changes,
    });
    const own = local.filter((server) => server.service === service);
    scheduler.replaceServers(own.map((server) => ({ ...server, address: server.serverId })));
    services.set(service, { kind, scheduler });
  }
  return services;
}

function demandOf({ promptTokens, maxOutputTokens, prefixKey, prefixTokens }: LoadRequest) {
  const prefixes = prefixKey === undefined ? [] : [{ key: prefixKey, tokens: prefixTokens }];
  return { promptTokens, maxOutputTokens, prefixes };
}

/** The project's own admission, queueing and routing as the running instance wires them. */
export function createSchedulerPolicy(
  setup: PolicySetup,
  changes: SchedulerChanges,
  hooks?: SchedulerHooks,
): SchedulerPolicy {
  const { actions } = setup;
  const services = createServices(setup, changes);
  const waiting = new Map<number, ScheduledRequest<Item>>();
  const placements = new Map<number, Placement<Item>>();
  let wakeAtMs = Number.POSITIVE_INFINITY;

  const send = (placement: Placement<Item>) => {
    const { item } = placement.request;
    waiting.delete(item.requestId);
    placements.set(item.requestId, placement);
    actions.send(item, placement.choice.server.serverId);
  };

  const expire = (scheduler: ServiceScheduler<Item>) => {
    const nowMs = actions.nowMs();
    for (const { request, retryAtMs } of scheduler.takeExpired(nowMs)) {
      waiting.delete(request.item.requestId);
      actions.refuse(request.item, 'expired', retryAtMs);
    }
    const nextMs = scheduler.nextExpiryAtMs();
    if (nextMs === undefined || nextMs >= wakeAtMs) return;
    wakeAtMs = nextMs;
    actions.wakeAt(nextMs + 1, () => {
      wakeAtMs = Number.POSITIVE_INFINITY;
      expire(scheduler);
    });
  };

  const schedulerOf = ({ service }: LoadRequest) => services.get(service)?.scheduler;

  const pump = (scheduler: ServiceScheduler<Item>) => {
    scheduler.takeReady(actions.nowMs()).forEach(send);
    expire(scheduler);
  };

  return {
    useServers(serverIds) {
      const usable = setup.servers.filter(
        ({ region, serverId }) => region === setup.instance.region && serverIds.has(serverId),
      );
      services.forEach(({ scheduler }, name) => {
        const own = usable.filter(({ service }) => service === name);
        scheduler.replaceServers(own.map((server) => ({ ...server, address: server.serverId })));
        pump(scheduler);
      });
    },
    onRequest(item) {
      const service = services.get(item.service);
      if (service === undefined) {
        actions.refuse(item, 'no server');
        return;
      }
      const request: ScheduledRequest<Item> = {
        item,
        callerId: item.callerId,
        priority: item.priority,
        work: service.kind === 'engine' ? service.scheduler.estimate(demandOf(item)) : PLAIN_WORK,
        arrivedAtMs: actions.nowMs(),
        deadlineAtMs: item.deadlineAtMs,
        mayUse: () => true,
      };
      const outlook = service.scheduler.outlook(request, actions.nowMs());
      if (hooks?.before(item, outlook) === true) return;
      const offer = service.scheduler.offer(request, actions.nowMs());
      if (offer.kind !== 'run' && hooks?.instead(item, offer, outlook) === true) {
        service.scheduler.remove(request);
        return;
      }
      switch (offer.kind) {
        case 'run':
          hooks?.began(item, outlook);
          send(offer.placement);
          return;
        case 'wait':
          waiting.set(item.requestId, request);
          pump(service.scheduler);
          return;
        case 'refuse':
          actions.refuse(item, offer.reason, offer.retryAtMs);
          return;
        default:
          offer satisfies never;
      }
    },
    onAttemptEnd(item, end) {
      const placement = placements.get(item.requestId);
      const scheduler = schedulerOf(item);
      if (placement === undefined || scheduler === undefined) return;
      placements.delete(item.requestId);
      const result = end.kind === 'answered' ? 'answered' : 'withoutAnswer';
      scheduler.end(placement, result, actions.nowMs());
      if (end.kind === 'answered') scheduler.recordOutput(placement, end.usage.outputTokens);
      if (end.kind === 'crashed' || end.kind === 'unreachable') {
        scheduler.removeCacheRecords(end.serverId);
        if (hooks?.failed(item, end) !== true) actions.refuse(item, 'server failed');
      }
      pump(scheduler);
    },
    onFirstToken(item) {
      const placement = placements.get(item.requestId);
      if (placement !== undefined) schedulerOf(item)?.recordFirstByte(placement);
    },
    onGone(item) {
      const request = waiting.get(item.requestId);
      if (request === undefined) return;
      waiting.delete(item.requestId);
      schedulerOf(item)?.remove(request);
    },
    onLoadReport(report) {
      services.forEach(({ scheduler }) =>
        scheduler.recordReport(report.serverId, report, actions.nowMs()),
      );
    },
    onCacheEvent({ kind, serverId, prefixKey, atMs }) {
      services.forEach(({ scheduler }) =>
        scheduler.recordCacheEvent({ kind, serverId, key: prefixKey, atMs }),
      );
    },
  };
}

/** The project's own decisions, with what a measurement changes of them. */
export function schedulerPolicy(
  name = 'coltsfootworks',
  changes: SchedulerChanges = {},
): PolicyFactory {
  return { name, create: (setup) => createSchedulerPolicy(setup, changes) };
}
