import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { Logger } from '../events';
import { decideDrain } from './decide-drain';
import { DRAINING_EVENTS } from './events';
import type { DrainHold, DrainPhase, OpenWork } from './types';

/** The planned stop of this instance, for all who must behave differently in it. */
export interface Draining {
  phase(): DrainPhase;
  /** Whether a stop has begun, so that connections are closed after their answer. */
  isLeaving(): boolean;
  openWork(): OpenWork;
  /** Notes that any request has come in, whatever becomes of it. */
  noteArrival(): void;
  /** Notes a request that is being served; disposing of the result notes its end. */
  begin(origin: 'caller' | 'peer'): Disposable;
  /** Notes a request that was refused because of the stop. */
  noteRefused(): void;
  /** Keeps the instance from going for as long as `hold` is held. */
  addHold(hold: DrainHold): Disposable;
  /** Begins the stop, and resolves when the instance may go. */
  run(): Promise<void>;
}

/** What a planned stop is built from. */
export interface DrainingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long the stop is told before new work is refused. */
  readonly noticeMs: number;
}

const LOOK_EVERY_MS = 50;
const SAY_EVERY_MS = 10_000;

/** An instance that is not stopping yet. */
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
  const heldBy = () => [...holds].filter((hold) => hold.isHeld()).map((hold) => hold.name);

  const count = (origin: 'caller' | 'peer', by: number) => {
    if (origin === 'caller') callerRequests += by;
    else peerRequests += by;
  };

  const enter = (next: DrainPhase) => {
    if (next === phase) return;
    phase = next;
    if (next === 'refusing') {
      logger.event(DRAINING_EVENTS.refusing, { ...openWork(), holds: heldBy() });
    }
  };

  const run = async (): Promise<void> => {
    const noticeEndsAtMs = clock.monotonicMs() + noticeMs;
    let sayAtMs = clock.monotonicMs() + SAY_EVERY_MS;
    enter('leaving');
    for (;;) {
      const nowMs = clock.monotonicMs();
      const step = decideDrain({
        nowMs,
        noticeEndsAtMs,
        lastArrivalAtMs,
        openWork: openWork(),
        holds: heldBy(),
      });
      if (step.kind === 'done') break;
      enter(step.phase);
      if (nowMs >= sayAtMs) {
        sayAtMs = nowMs + SAY_EVERY_MS;
        logger.event(DRAINING_EVENTS.waiting, { ...openWork(), holds: heldBy() });
      }
      await sleepUntil(clock, nowMs + LOOK_EVERY_MS);
    }
    enter('refusing');
    logger.event(DRAINING_EVENTS.drained, { servedWhileLeaving, refused });
  };

  return {
    phase: () => phase,
    isLeaving: () => phase !== 'serving',
    openWork,
    noteArrival() {
      lastArrivalAtMs = clock.monotonicMs();
    },
    begin(origin) {
      let open = true;
      count(origin, 1);
      if (phase === 'leaving') servedWhileLeaving += 1;
      return {
        [Symbol.dispose]() {
          if (open) count(origin, -1);
          open = false;
        },
      };
    },
    noteRefused() {
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
