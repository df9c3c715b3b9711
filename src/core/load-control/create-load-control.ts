import type { Clock } from '../clock';
import type { ConfigurationStore } from '../configuration';
import type { EventDefinition, Logger } from '../events';
import type { RandomSource } from '../random';
import { REFUSALS, RefusalError } from '../refusals';
import type { Offer, RefusalReason } from '../scheduling';
import type { GatewayRequest } from '../serving/types';
import { LOAD_CONTROL_EVENTS } from './events';
import { createServiceControl } from './service-control';
import type { ServiceControl, Waiter } from './service-control';
import { createSlot } from './slot';
import type { LoadControl, Slot } from './types';

/** Options of load control. */
export interface LoadControlOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly region: string;
  readonly failureDomain: string;
  readonly configuration: ConfigurationStore;
}

const neverSent = { kind: 'neverSent' } as const;

const REASON_TEXTS: Readonly<Record<RefusalReason | 'left-queue' | 'caller-gone', string>> = {
  'no-server': 'No server of this region may take it now.',
  'deadline-too-near': 'An answer of its size takes longer than the time left.',
  'wait-outlasts-deadline': 'The wait for its turn would outlast its deadline.',
  'standing-queue': 'More comes in than can be served, and the queue is no longer let grow.',
  'left-queue': 'It could no longer be whole in time and left the queue.',
  'caller-gone': 'The caller went, or the deadline passed, while it waited.',
};

function refusalFor(reason: keyof typeof REASON_TEXTS, retryAtUnixMs: number | undefined) {
  const kind = reason === 'no-server' ? REFUSALS.noServer : REFUSALS.overloaded;
  return new RefusalError(kind, {
    detail: REASON_TEXTS[reason],
    step: 'admit',
    evidence: neverSent,
    retryAtUnixMs,
  });
}

/** Creates load control for an instance: a scheduler per service, and promises and log lines around it. */
export function createLoadControl(options: LoadControlOptions): LoadControl {
  const { clock, logger, configuration } = options;
  const controls = new Map<string, ServiceControl>();

  const controlOf = (request: GatewayRequest): ServiceControl => {
    const { service } = request;
    const known = controls.get(service.name);
    const control = known ?? createServiceControl(options, service);
    if (known === undefined) controls.set(service.name, control);
    control.applyConfiguration(configuration.current() ?? request.configuration);
    return control;
  };

  const toUnixMs = (atMs: number) => Math.round(clock.unixMs() + atMs - clock.monotonicMs());

  const log = (
    event: EventDefinition,
    request: GatewayRequest,
    fields: Readonly<Record<string, string | number>>,
  ) =>
    logger.event(event, {
      requestId: request.requestId,
      attempt: request.attempt,
      service: request.service.name,
      caller: request.caller.id,
      ...fields,
    });

  const probeWaiter = (request: GatewayRequest): Waiter => ({
    request,
    begin: () => {},
    expire: () => {},
  });

  const logOffer = (request: GatewayRequest, offer: Offer<Waiter>, units: number) => {
    const workUnits = Math.round(units);
    switch (offer.kind) {
      case 'run':
        log(LOAD_CONTROL_EVENTS.admitted, request, { decision: 'run', workUnits });
        return;
      case 'wait': {
        const expectedWaitMs = Math.round(offer.expectedWaitMs);
        log(LOAD_CONTROL_EVENTS.admitted, request, { decision: 'wait', workUnits, expectedWaitMs });
        return;
      }
      case 'refuse': {
        const { reason } = offer;
        const expectedWaitMs = Math.round(offer.expectedWaitMs);
        const retryAtUnixMs = toUnixMs(offer.retryAtMs);
        const fields = { reason, workUnits, expectedWaitMs, retryAtUnixMs };
        log(LOAD_CONTROL_EVENTS.refused, request, fields);
        return;
      }
      default:
        offer satisfies never;
    }
  };

  return {
    canServe(request, mayUse) {
      const { scheduler, toScheduled } = controlOf(request);
      return scheduler.canServe(toScheduled(request, mayUse, probeWaiter(request)));
    },
    outlook(request, mayUse) {
      const { scheduler, toScheduled } = controlOf(request);
      const scheduled = toScheduled(request, mayUse, probeWaiter(request));
      return {
        canServe: scheduler.canServe(scheduled),
        ...scheduler.outlook(scheduled, clock.monotonicMs()),
      };
    },
    acquire(request, mayUse, signal) {
      const control = controlOf(request);
      const { scheduler } = control;
      return new Promise<Slot>((resolve, reject) => {
        let onAbort = () => {};
        const removeAbortListener = () => signal.removeEventListener('abort', onAbort);
        const waiter: Waiter = {
          request,
          begin(placement) {
            removeAbortListener();
            resolve(createSlot(placement, control, clock));
          },
          expire(retryAtMs) {
            removeAbortListener();
            const retryAtUnixMs = toUnixMs(retryAtMs);
            log(LOAD_CONTROL_EVENTS.expired, request, { retryAtUnixMs });
            reject(refusalFor('left-queue', retryAtUnixMs));
          },
        };
        const scheduled = control.toScheduled(request, mayUse, waiter);
        const offer = scheduler.offer(scheduled, clock.monotonicMs());
        logOffer(request, offer, scheduled.work.units);
        switch (offer.kind) {
          case 'run':
            waiter.begin(offer.placement);
            return;
          case 'wait':
            onAbort = () => {
              scheduler.remove(scheduled);
              control.dispatch();
              reject(refusalFor('caller-gone', undefined));
            };
            signal.addEventListener('abort', onAbort, { once: true });
            if (signal.aborted) onAbort();
            else control.dispatch();
            return;
          case 'refuse':
            reject(refusalFor(offer.reason, toUnixMs(offer.retryAtMs)));
            return;
          default:
            offer satisfies never;
        }
      });
    },
    [Symbol.dispose]() {
      for (const control of controls.values()) control[Symbol.dispose]();
    },
  };
}
