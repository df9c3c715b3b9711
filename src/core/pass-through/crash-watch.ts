import type { Clock } from '../clock';
import { CRASH_CAUSE_EVENTS, MAX_ANSWERED_MS } from '../crash-causes';
import type {
  CrashCauses,
  PartTrial,
  RequestCrash,
  RequestWithParts,
  SuspectParts,
} from '../crash-causes';
import type { Logger } from '../events';
import { POISON_EVENTS } from '../poison';
import type { PoisonGuard } from '../poison';
import type { KnownServer } from '../server-registry';
import type { CrashInvestigations } from './investigate-crash';
import type { InboundRequest, RequestPlan } from './types';

/** Detects requests that crash each server that runs them, from the results of their attempts. */
export interface CrashWatch {
  /** Returns for how long the request will be refused, ms; undefined if it is not refused. */
  refusedForMs(request: InboundRequest, plan: RequestPlan): number | undefined;
  /** Called before the body of a request is let go, by which it would be known again if it crashed a server. */
  keepIdentity(request: InboundRequest, plan: RequestPlan): void;
  /** Watches one attempt at a server. */
  watch(request: InboundRequest, plan: RequestPlan, target: CrashTarget): CrashWatchedAttempt;
}

/** Server and number of an attempt that is about to be sent. */
export interface CrashTarget {
  readonly server: KnownServer;
  /** Number of the attempt among those of its request, from 1. */
  readonly attempt: number;
  readonly maxConnections: number;
  /** Returns the time of the first byte of the answer's body, monotonic ms; undefined before that. */
  readonly firstByteAtMs: () => number | undefined;
}

/** A watched attempt that is in progress. */
export interface CrashWatchedAttempt {
  /** The complete answer arrived, with this status. */
  answered(status: number): void;
  /**
   * The connection was reset before the answer was complete; `firstByteAtMs` is the time of the first byte of its body,
   * monotonic ms, and undefined if there was none.
   */
  reset(firstByteAtMs: number | undefined): void;
  /** The attempt ended in a way that does not indicate a crash. */
  ended(): void;
}

/** Options of `createCrashWatch`. */
export interface CrashWatchOptions {
  readonly clock: Pick<Clock, 'unixMs' | 'monotonicMs' | 'schedule'>;
  readonly logger: Logger;
  readonly suspectParts: SuspectParts;
  readonly guard: Pick<PoisonGuard, 'verdict' | 'watch' | 'fingerprint'>;
  readonly causes: Pick<
    CrashCauses,
    'convictionOf' | 'heldBy' | 'beginTrial' | 'recordSent' | 'recordAnswered' | 'recordCrash'
  >;
  readonly investigations: Pick<CrashInvestigations, 'begin'>;
  /** All regions of the deployment; used for requests without home regions. */
  readonly regions: () => readonly string[];
}

function toGuardedRequest(
  request: InboundRequest,
  { service, account = '' }: RequestPlan,
  attempt: number,
  fingerprints: WeakMap<InboundRequest, string>,
) {
  const { requestId, method, path } = request;
  return {
    requestId,
    attempt,
    service: { name: service },
    caller: { id: account },
    method,
    path,
    get body() {
      return request.body.parts();
    },
    get knownFingerprint() {
      return fingerprints.get(request);
    },
  };
}

function toRequestWithParts(
  { demand }: InboundRequest,
  { service }: RequestPlan,
): RequestWithParts {
  return { service, demand };
}

/** Interval at which the answer to a request that is tried is looked at, ms. */
const TRIAL_CHECK_MS = 50;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Creates a crash watch that reports to the poison guard and to the record of crash causes.
 *
 * A reset connection does not prove a crash: some servers lose single answers, and the links of this
 * instance may be cut. Counting those as crashes would refuse harmless requests that many callers send.
 * So after a reset it is first found out whether the server crashed.
 */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { clock, logger, suspectParts, guard, causes, investigations, regions } = options;
  /** Fingerprints of requests whose bodies have been let go. */
  const fingerprints = new WeakMap<InboundRequest, string>();

  const recordIfCrashed = (
    { requestId, demand }: InboundRequest,
    { server, maxConnections }: CrashTarget,
    attempt: Pick<RequestCrash, 'sentAtMs' | 'trial'>,
    firstByteAtMs: number | undefined,
    onVerdict: (crash: RequestCrash | undefined, resetAtUnixMs: number) => void,
  ): void => {
    const resetAtUnixMs = clock.unixMs();
    const resetAtMs = clock.monotonicMs();
    const answeredForMs =
      firstByteAtMs === undefined ? undefined : Math.round(resetAtMs - firstByteAtMs);
    investigations.begin(server, maxConnections, (verdict) => {
      const evidence = verdict.kind === 'crashed' ? verdict.evidence : undefined;
      logger.event(POISON_EVENTS.checked, {
        requestId,
        server: server.incarnationId,
        result: verdict.kind,
        evidence,
        afterMs: clock.unixMs() - resetAtUnixMs,
        answeredForMs,
        parts: suspectParts(demand),
      });
      const { incarnationId: serverId, failureDomain } = server;
      const crash = { serverId, failureDomain, atMs: resetAtMs, answeredForMs, ...attempt };
      onVerdict(verdict.kind === 'crashed' ? crash : undefined, resetAtUnixMs);
    });
  };

  /** Ends a trial well once its answer has gone on past the moment at which servers crash. */
  const watchSurvival = (trial: PartTrial, { firstByteAtMs }: CrashTarget): Disposable => {
    let timer: Disposable;
    const check = (): void => {
      const nowMs = clock.monotonicMs();
      if (nowMs - (firstByteAtMs() ?? nowMs) > MAX_ANSWERED_MS) {
        trial.recordSurvived();
        trial.end();
      } else timer = clock.schedule(nowMs + TRIAL_CHECK_MS, check);
    };
    timer = clock.schedule(clock.monotonicMs() + TRIAL_CHECK_MS, check);
    return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
  };

  return {
    refusedForMs(request, plan) {
      const conviction = causes.convictionOf(toRequestWithParts(request, plan));
      if (conviction !== undefined) {
        const { part, untilMs } = conviction;
        logger.event(CRASH_CAUSE_EVENTS.refused, { requestId: request.requestId, part });
        return untilMs - clock.monotonicMs();
      }
      const held = causes.heldBy(toRequestWithParts(request, plan));
      if (held !== undefined) {
        const { part, untilMs } = held;
        logger.event(CRASH_CAUSE_EVENTS.held, { requestId: request.requestId, part });
        return Math.max(1, untilMs - clock.monotonicMs());
      }
      const verdict = guard.verdict(toGuardedRequest(request, plan, 0, fingerprints));
      return verdict.kind === 'refused' ? verdict.untilUnixMs - clock.unixMs() : undefined;
    },
    keepIdentity(request, plan) {
      const guarded = toGuardedRequest(request, plan, 0, fingerprints);
      fingerprints.set(request, guard.fingerprint(guarded));
    },
    watch(request, plan, target) {
      const allowedRegions = plan.homeRegions.length === 0 ? regions() : plan.homeRegions;
      const guardedRequest = toGuardedRequest(request, plan, target.attempt, fingerprints);
      const watched = guard.watch(guardedRequest, target.server.incarnationId, allowedRegions);
      const withParts = toRequestWithParts(request, plan);
      causes.recordSent(withParts);
      const trial = causes.beginTrial(withParts);
      const survival = trial && watchSurvival(trial, target);
      const endTrial = (): void => {
        survival?.[Symbol.dispose]();
        trial?.end();
      };
      const sent = { sentAtMs: clock.monotonicMs(), trial };
      return {
        answered(status) {
          endTrial();
          watched.answered();
          if (isSuccess(status)) causes.recordAnswered(withParts);
        },
        reset(firstByteAtMs) {
          survival?.[Symbol.dispose]();
          recordIfCrashed(request, target, sent, firstByteAtMs, (crash, resetAtUnixMs) => {
            // A crash is told a moment after this; until then, nothing else is tried.
            if (crash === undefined) trial?.end();
            if (crash === undefined) {
              watched.abandoned();
              return;
            }
            watched.failed({ kind: 'lostAfterSending', cause: 'reset' }, resetAtUnixMs);
            causes.recordCrash(withParts, crash, allowedRegions);
          });
        },
        ended() {
          endTrial();
          watched.abandoned();
        },
      };
    },
  };
}
