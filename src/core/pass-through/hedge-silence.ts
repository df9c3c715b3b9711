import type { SlotLease } from '../brittle-servers';
import type { Clock } from '../clock';
import type { RetryAllowance } from '../shared-budget';
import { askPermission } from './ask-permission';
import type { AskPermissionOptions } from './ask-permission';
import type { AttemptBudget } from './attempt-budget';
import type { Router } from './create-router';
import type { SendableDestination } from './destinations';
import type { OpenAttempts } from './open-attempts';
import type { TriedRecord } from './tried-destinations';
import type { InboundRequest, RequestPlan } from './types';
import { areAllSilent, watchSilence } from './watch-silence';

/** Hedges of all requests of an instance. */
export interface Hedges {
  /** Whether hedges may begin. */
  isEnabled(): boolean;
  recordBegun(): void;
}

/** Options of `hedgeSilence`. */
export interface HedgeSilenceOptions extends Omit<AskPermissionOptions, 'isNeeded'> {
  readonly clock: Clock;
  readonly router: Pick<Router, 'chooseBeside' | 'loads'>;
  readonly retries: RetryAllowance;
  readonly hedges: Hedges;
  readonly request: InboundRequest;
  /** Returns the plan of the next attempt. */
  readonly planOfNext: () => RequestPlan;
  readonly attemptBudget: Pick<AttemptBudget, 'hasRemaining'>;
  readonly openAttempts: Pick<OpenAttempts, 'list'>;
  readonly tried: TriedRecord;
  /** Whether the request is over or has to be refused, or no other server can go on with its answer. */
  readonly mayNotHedge: () => boolean;
  readonly send: (to: SendableDestination, slotLease?: SlotLease) => void;
}

/** Delay until regions that have refused a hedge are asked again, ms: a slot of a busy server is free within this time. */
const REFUSED_RETRY_MS = 400;

/**
 * Begins one more attempt of a request beside those in progress while all of these are silent.
 *
 * If a silent attempt were aborted first, its answer would be lost wherever the next attempt is refused or falls silent as
 * well: when all servers stand still for a second, callers of sound servers would find their answers cut off. So attempts
 * in progress stay until one of them has something for the caller, and an attempt begins only where there is room for it.
 */
export function hedgeSilence(options: HedgeSilenceOptions): Disposable {
  const { clock, router, retries, hedges, request, planOfNext, attemptBudget } = options;
  const { openAttempts, tried } = options;
  let isPending = false;
  let nextAtMs = -Infinity;

  const isNeeded = (): boolean =>
    hedges.isEnabled() &&
    !options.mayNotHedge() &&
    attemptBudget.hasRemaining() &&
    areAllSilent(openAttempts.list(), router.loads, clock.monotonicMs());

  const giveRetryBack = (): void => retries.giveBack(planOfNext().service, clock.monotonicMs());

  const send = (to: SendableDestination, slotLease?: SlotLease): void => {
    hedges.recordBegun();
    options.send(to, slotLease);
  };

  const choose = (nowMs: number): SendableDestination | undefined => {
    const to = router.chooseBeside(request, planOfNext(), tried, nowMs);
    if (to === undefined && tried.forgetRefusals()) nextAtMs = nowMs + REFUSED_RETRY_MS;
    return to;
  };

  const sendIfPermitted = (to: SendableDestination & { kind: 'server' }): void => {
    isPending = true;
    askPermission({ ...options, isNeeded }, to.server, (permission) => {
      isPending = false;
      if (permission.kind === 'granted') send(to, permission.slotLease);
      else giveRetryBack();
    });
  };

  return watchSilence({
    clock,
    loads: router.loads,
    attempts: openAttempts.list,
    onSilence() {
      const nowMs = clock.monotonicMs();
      if (isPending || nowMs < nextAtMs || !isNeeded()) return;
      if (!retries.take(planOfNext().service, nowMs)) return;
      const to = choose(nowMs);
      if (to === undefined) giveRetryBack();
      else if (to.kind === 'server') sendIfPermitted(to);
      else send(to);
    },
  });
}
