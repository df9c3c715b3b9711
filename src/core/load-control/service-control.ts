import type { Clock } from '../clock';
import type { CompiledConfiguration, Service } from '../configuration';
import type { RandomSource } from '../random';
import { createServiceScheduler } from '../scheduling';
import type { Placement, ScheduledRequest, ServiceScheduler } from '../scheduling';
import type { GatewayRequest } from '../serving/types';
import { PLAIN_WORK } from '../work';
import { readDemand } from './read-demand';
import type { MayUse } from './types';

/** A request that waits, and who is told when its turn has come or will not come. */
export interface Waiter {
  readonly request: GatewayRequest;
  begin(placement: Placement<Waiter>): void;
  expire(retryAtMs: number): void;
}

/** One service's scheduler with the timers that keep it going. */
export interface ServiceControl extends Disposable {
  readonly scheduler: ServiceScheduler<Waiter>;
  toScheduled(request: GatewayRequest, mayUse: MayUse, waiter: Waiter): ScheduledRequest<Waiter>;
  /** Begins what may begin and lets go what can't be in time; to be called after each change. */
  pump(): void;
  /** Takes over a version of the configuration. */
  follow(configuration: CompiledConfiguration): void;
}

/** What a service's control needs. */
export interface ServiceControlNeeds {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: string;
  readonly failureDomain: string;
}

/**
 * While something waits, servers are looked at anew this often: an ejection or a slow start ends without any
 * event that reaches the queue.
 */
const LOOK_AGAIN_MS = 100;

/** Control of one service, with nothing in flight. */
export function createServiceControl(
  { clock, random, region, failureDomain }: ServiceControlNeeds,
  service: Service,
): ServiceControl {
  const { queueing } = service;
  const scheduler = createServiceScheduler<Waiter>({
    kind: service.kind === 'model' ? 'engine' : 'plain',
    ownFailureDomain: failureDomain,
    random,
    batchShare: queueing.batchShare,
    batchLongestWaitMs: queueing.batchLongestWaitMs,
    standingWaitMs: queueing.standingWaitMs,
  });
  let version = 0;
  let timer: Disposable | undefined;

  const pump = () => {
    timer?.[Symbol.dispose]();
    timer = undefined;
    const nowMs = clock.monotonicMs();
    for (const { request, retryAtMs } of scheduler.takeExpired(nowMs)) {
      request.item.expire(retryAtMs);
    }
    for (const placement of scheduler.takeReady(nowMs)) placement.request.item.begin(placement);
    const nextExpiryAtMs = scheduler.nextExpiryAtMs();
    if (nextExpiryAtMs === undefined) return;
    timer = clock.schedule(Math.min(nextExpiryAtMs + 1, nowMs + LOOK_AGAIN_MS), pump);
  };

  return {
    scheduler,
    pump,
    toScheduled: (request, mayUse, item) => ({
      item,
      callerId: request.caller.id,
      priority: request.service.priority,
      work:
        request.service.kind === 'model'
          ? scheduler.estimate(readDemand(request, request.service.maxOutputTokens))
          : PLAIN_WORK,
      arrivedAtMs: clock.monotonicMs(),
      deadlineAtMs: request.deadlineAtMs,
      mayUse,
    }),
    follow(configuration) {
      if (configuration.version === version) return;
      version = configuration.version;
      scheduler.replaceServers(
        configuration
          .serversOf(service.name)
          .filter((server) => server.region === region)
          .map((server) => ({
            serverId: server.id,
            address: server.address,
            failureDomain: server.failureDomain,
          })),
      );
    },
    [Symbol.dispose]() {
      timer?.[Symbol.dispose]();
    },
  };
}
