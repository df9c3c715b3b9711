import type { Clock } from '../clock';
import type { LoadReport, SpillSeen } from '../placement';
import type { Destination, Router } from './create-router';
import { alikeKey } from './forwarding';
import type { InboundRequest, RequestPlan } from './types';

/** A destination that a request can be sent to. */
export type SendableDestination = Exclude<Destination, { kind: 'none' }>;

/** How a try ended, as far as it says something about where it was sent. */
export type ObservedEnd =
  | 'answered'
  /** The destination failed. */
  | 'failed'
  /** The destination would not take it. */
  | 'refused'
  /** Says nothing about the destination, as when a caller leaves. */
  | 'untold';

/** Keeps what the router knows of a destination in step with one try there. */
export interface DestinationObserver {
  noteLoad(report: LoadReport): void;
  noteFirstByte(): void;
  noteHeard(): void;
  noteEnd(end: ObservedEnd): void;
  /** Whether the destination owes answers and has been silent to all for long. */
  isSilent(): boolean;
}

/** What an observer is made with. */
export interface ObserverOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly router: Router;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
}

/** Silence after which a server that owes answers counts as failed when a request runs out of time, ms. */
const SILENT_SERVER_MS = 1_200;

function observeServer(
  { clock, router, plan, request }: ObserverOptions,
  to: SendableDestination & { kind: 'server' },
): DestinationObserver {
  const { server, tokens, predictedMs } = to;
  const { incarnationId } = server;
  const { loads, paces, correction } = router;
  const sentAtMs = clock.monotonicMs();
  let hadFirstByte = false;
  let isNoted = false;
  loads.noteSent(incarnationId, tokens, sentAtMs);
  return {
    noteLoad(report) {
      loads.noteReport(incarnationId, report, clock.monotonicMs());
    },
    noteFirstByte() {
      if (hadFirstByte) return;
      hadFirstByte = true;
      const nowMs = clock.monotonicMs();
      const actualMs = nowMs - sentAtMs;
      // On a busy server the wait for a place in the batch would count as reading.
      const isRoomy = loads.load(incarnationId, nowMs) < server.slots / 2;
      if (isRoomy) paces.notePrefill(plan.service, tokens, actualMs);
      correction.note(alikeKey(plan), to.rawPredictedMs, actualMs);
      loads.noteFirstByte(incarnationId, { tokens, predictedMs, actualMs }, nowMs);
      if (request.demand !== undefined) router.noteRead(incarnationId, request.demand);
    },
    noteHeard() {
      loads.noteHeard(incarnationId, clock.monotonicMs());
    },
    noteEnd(end) {
      if (isNoted) return;
      isNoted = true;
      const nowMs = clock.monotonicMs();
      const saysNothing = end === 'untold' || end === 'refused';
      const isFailure = saysNothing ? undefined : end === 'failed';
      loads.noteEnded(incarnationId, { hadFirstByte, tokens, isFailure }, nowMs);
      if (end === 'answered') paces.noteSlotTime(plan.service, nowMs - sentAtMs);
    },
    isSilent: () => loads.silentMs(incarnationId, clock.monotonicMs()) >= SILENT_SERVER_MS,
  };
}

function observePeer(
  { clock, router, plan }: ObserverOptions,
  to: SendableDestination & { kind: 'peer' },
): DestinationObserver {
  const { spillWindows } = router;
  const { region } = to.peer;
  const sentAtMs = clock.monotonicMs();
  let isWaiting = true;
  spillWindows.begin(plan.service, region);
  const end = (seen: SpillSeen): void => {
    if (!isWaiting) return;
    isWaiting = false;
    spillWindows.end(plan.service, region, seen, clock.monotonicMs());
  };
  const noteFirstByte = (): void => {
    const objectiveShare = (clock.monotonicMs() - sentAtMs) / plan.objectiveMs;
    end({ kind: 'firstByte', objectiveShare });
  };
  return {
    noteLoad() {},
    noteFirstByte,
    noteHeard() {},
    noteEnd(observed) {
      switch (observed) {
        case 'answered':
          noteFirstByte();
          return;
        case 'untold':
          end({ kind: 'nothing' });
          return;
        case 'refused':
        case 'failed':
          end({ kind: 'refused' });
          return;
        default:
          observed satisfies never;
      }
    },
    isSilent: () => false,
  };
}

/** Begins to observe a try that is about to be sent. */
export function observeDestination(
  options: ObserverOptions,
  to: SendableDestination,
): DestinationObserver {
  switch (to.kind) {
    case 'server':
      return observeServer(options, to);
    case 'peer':
      return observePeer(options, to);
    default:
      return to satisfies never;
  }
}
