import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { Logger } from '../events';
import { decideDrain } from './decide-drain';
import { DRAINING_EVENTS } from './events';
import type { DrainHold, DrainPhase, OpenWork } from './types';

/** Starts the planned stop of this instance, tracks the open work that it waits for and reports its phase. */
export interface Draining {
  phase(): DrainPhase;
  /** Whether the stop has begun; connections are then closed after their answer. */
  isStopping(): boolean;
  openWork(): OpenWork;
  /** Records the arrival of a request, whether or not it is served. */
  recordArrival(): void;
  /** Counts a request as open until the result is disposed of. */
  begin(origin: 'caller' | 'peer'): Disposable;
  /** Records a request that was refused because of the stop. */
  recordRefusal(): void;
  /** Delays the end of the instance for as long as `hold` is held. */
  addHold(hold: DrainHold): Disposable;
  /** Begins the stop; the promise resolves when the instance may end. */
  run(): Promise<void>;
}

/** Options of `createDraining`. */
export interface DrainingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time for which the stop is announced before new requests are refused, ms. */
  readonly noticeMs: number;
}

/** Interval at which the next step of the stop is decided, ms. */
const POLL_INTERVAL_MS = 50;
/** Interval between log events about the open work, ms. */
const WAITING_LOG_INTERVAL_MS = 10_000;

/** Creates the control of the planned stop of this instance; the phase is `serving` until `run` is called. */
export function createDraining({ clock, logger, noticeMs }: DrainingOptions): Draining {
  const holds = new Set<DrainHold>();
  let phase: DrainPhase = 'serving';
  let callerRequests = 0;
  let peerRequests = 0;
  let servedWhileLeaving = 0;
  let refused = 0;
  let lastArrivalAtMs: number | undefined;
  let running: Promise<void> | undefined;

  const openWork = (): OpenWork => ({ callerRequests, peerRequests });
  const activeHolds = () => [...holds].filter((hold) => hold.isHeld()).map((hold) => hold.name);

  const adjustOpenRequests = (origin: 'caller' | 'peer', by: number) => {
    if (origin === 'caller') callerRequests += by;
    else peerRequests += by;
  };

  const enter = (next: DrainPhase) => {
    if (next === phase) return;
    phase = next;
    if (next === 'refusing') {
      logger.event(DRAINING_EVENTS.refusing, { ...openWork(), holds: activeHolds() });
    }
  };

  const run = async (): Promise<void> => {
    const noticeEndsAtMs = clock.monotonicMs() + noticeMs;
    let nextLogAtMs = clock.monotonicMs() + WAITING_LOG_INTERVAL_MS;
    enter('leaving');
    for (;;) {
      const nowMs = clock.monotonicMs();
      const step = decideDrain({
        nowMs,
        noticeEndsAtMs,
        lastArrivalAtMs,
        openWork: openWork(),
        holds: activeHolds(),
      });
      if (step.kind === 'done') break;
      enter(step.phase);
      if (nowMs >= nextLogAtMs) {
        nextLogAtMs = nowMs + WAITING_LOG_INTERVAL_MS;
        logger.event(DRAINING_EVENTS.waiting, { ...openWork(), holds: activeHolds() });
      }
      await sleepUntil(clock, nowMs + POLL_INTERVAL_MS);
    }
    enter('refusing');
    logger.event(DRAINING_EVENTS.drained, { servedWhileLeaving, refused });
  };

  return {
    phase: () => phase,
    isStopping: () => phase !== 'serving',
    openWork,
    recordArrival() {
      lastArrivalAtMs = clock.monotonicMs();
    },
    begin(origin) {
      let open = true;
      adjustOpenRequests(origin, 1);
      if (phase === 'leaving') servedWhileLeaving += 1;
      return {
        [Symbol.dispose]() {
          if (open) adjustOpenRequests(origin, -1);
          open = false;
        },
      };
    },
    recordRefusal() {
      refused += 1;
    },
    addHold(hold) {
      holds.add(hold);
      return {
        [Symbol.dispose]() {
          holds.delete(hold);
        },
      };
    },
    run() {
      running ??= run();
      return running;
    },
  };
}
