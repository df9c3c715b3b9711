import type { Clock } from '../clock';
import type { CompiledConfiguration, Service } from '../configuration';
import type { RandomSource } from '../random';
import { createServiceScheduler } from '../scheduling';
import type { Placement, ScheduledRequest, ServiceScheduler } from '../scheduling';
import type { GatewayRequest } from '../serving/types';
import { PLAIN_WORK } from '../work';
import { readDemand } from './read-demand';
import type { MayUse } from './types';

/** A request that waits, with callbacks for when its turn comes and for when it expires. */
export interface Waiter {
  readonly request: GatewayRequest;
  begin(placement: Placement<Waiter>): void;
  expire(retryAtMs: number): void;
}

/** The scheduler of one service, with the timers that drive it. */
export interface ServiceControl extends Disposable {
  readonly scheduler: ServiceScheduler<Waiter>;
  toScheduled(request: GatewayRequest, mayUse: MayUse, waiter: Waiter): ScheduledRequest<Waiter>;
  /**
   * Starts the requests whose turn has come and expires those that can no longer complete in time. Call it after
   * each change.
   */
  dispatch(): void;
  /** Applies a version of the configuration, if it is not the current one. */
  applyConfiguration(configuration: CompiledConfiguration): void;
}

/** Options of the control of a service. */
export interface ServiceControlOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: string;
  readonly failureDomain: string;
}

/**
 * Interval at which servers are checked again while requests wait, ms. An ejection or a slow start ends without any
 * event that reaches the queue.
 */
const RECHECK_INTERVAL_MS = 100;

/** Creates the scheduler and timers of one service. */
export function createServiceControl(
  { clock, random, region, failureDomain }: ServiceControlOptions,
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

  const dispatch = () => {
    timer?.[Symbol.dispose]();
    timer = undefined;
    const nowMs = clock.monotonicMs();
    for (const { request, retryAtMs } of scheduler.takeExpired(nowMs)) {
      request.item.expire(retryAtMs);
    }
    for (const placement of scheduler.takeReady(nowMs)) placement.request.item.begin(placement);
    const nextExpiryAtMs = scheduler.nextExpiryAtMs();
    if (nextExpiryAtMs === undefined) return;
    timer = clock.schedule(Math.min(nextExpiryAtMs + 1, nowMs + RECHECK_INTERVAL_MS), dispatch);
  };

  return {
    scheduler,
    dispatch,
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
    applyConfiguration(configuration) {
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
