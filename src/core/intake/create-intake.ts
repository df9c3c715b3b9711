import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { RandomSource } from '../random';
import { createCrowdWatch } from './crowd-watch';
import { INTAKE_EVENTS } from './events';
import { createIntakeQueue } from './intake-queue';
import type { LoopWatch } from './loop-watch';
import type { Turns, WaitingRequest } from './types';

/** Takes requests that have been read, and has them served as fast as this process can. */
export interface Intake {
  /** Serves a request at once, or lets it wait where the process is behind. */
  enter(request: WaitingRequest): void;
  /** Notes that a connection was accepted in the turn under way. */
  noteConnection(): void;
  /** Requests that wait. */
  size(): number;
}

/** What an intake is made from. */
export interface IntakeOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly turns: Turns;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly watch: Pick<LoopWatch, 'isLate' | 'lagMs'>;
}

/**
 * Time for which waiting requests are served before the loop looks for what else has come, ms. With much more, answers
 * that pass through stand still meanwhile; with much less, looking costs as much as serving.
 */
const SLICE_MS = 20;
/**
 * Longest time for which connections are accepted and read, one a turn, before the next slice, ms. Some dozens are
 * accepted in it on an eighth of a processor; requests that have been read wait no longer than a usual pause for it.
 */
const ACCEPT_MS = 60;
/** Cost of a request until one has been measured, ms of wall time. */
const FIRST_COST_MS = 5;
/** Weight of the newest slice in the cost of a request; a handful of slices decide. */
const NEWEST_WEIGHT = 0.3;
/** Bounds of the time after which refused callers come back, ms: at once only adds to the backlog, and they follow no
 * more than a third of the time that they have, which is a few seconds. */
const SHORTEST_RETURN_MS = 200;
const LONGEST_RETURN_MS = 2_000;

/** A backlog that is over sooner is no news, and two lines each would be many, ms. */
const TOLD_AFTER_MS = 100;

/** What a backlog came to, for its last line. */
interface BacklogCounts {
  readonly sinceMs: number;
  /** Whether its first line has been written. */
  isTold: boolean;
  served: number;
  refused: number;
  gone: number;
  most: number;
}

/**
 * An intake in which nobody waits.
 *
 * While the loop is in time, requests pass straight through. Once it is late they wait here, where the process knows of
 * them: those whose callers leave are dropped, those that come too late are refused at once, and the rest are served in
 * short slices, between which the loop sees to all else (answers, closes, heartbeats, the end of a planned stop).
 *
 * The loop accepts one connection in each of its turns. Were each turn to serve a slice as well, a crowd of new
 * connections would wait unseen for as many slices, and be read when its callers have left: seen were requests read five
 * seconds late while no more than eight waited here. So as long as turns bring connections, nothing is served for a
 * while, and the crowd is here, where the newest go first.
 */
export function createIntake(options: IntakeOptions): Intake {
  const { clock, turns, random, logger, watch } = options;
  const queue = createIntakeQueue();
  let backlog: BacklogCounts | undefined;
  let costMs = FIRST_COST_MS;
  let servedLast = 0;
  let sliceAtMs = 0;
  const crowd = createCrowdWatch(turns);

  const begin = (nowMs: number): BacklogCounts => {
    servedLast = 0;
    sliceAtMs = nowMs;
    return { sinceMs: nowMs, isTold: false, served: 0, refused: 0, gone: 0, most: 0 };
  };

  const end = ({ sinceMs, isTold, ...counts }: BacklogCounts): void => {
    backlog = undefined;
    if (!isTold) return;
    const lastedMs = Math.round(clock.monotonicMs() - sinceMs);
    logger.event(INTAKE_EVENTS.ended, { lastedMs, ...counts });
  };

  /** Notes how long the last slice took with all that came between it and this one. */
  const measure = (nowMs: number): void => {
    if (servedLast > 0) {
      const sample = (nowMs - sliceAtMs) / servedLast;
      costMs += (sample - costMs) * NEWEST_WEIGHT;
    }
    sliceAtMs = nowMs;
  };

  const dropGone = (): number => {
    const gone = queue.takeGone();
    for (const request of gone) request.drop();
    return gone.length;
  };

  /** Callers that are refused come back spread over the time in which the backlog is worked off. */
  const refuseHopeless = (nowMs: number): number => {
    const spreadMs = Math.min(
      LONGEST_RETURN_MS - SHORTEST_RETURN_MS,
      Math.max(SHORTEST_RETURN_MS, queue.size() * costMs),
    );
    const hopeless = queue.takeHopeless(costMs, nowMs);
    for (const request of hopeless) request.refuse(SHORTEST_RETURN_MS + random.next() * spreadMs);
    return hopeless.length;
  };

  const serveSlice = (nowMs: number): number => {
    const untilMs = nowMs + SLICE_MS;
    let served = 0;
    for (let request = queue.next(); request !== undefined; request = queue.next()) {
      served += 1;
      request.serve();
      if (clock.monotonicMs() >= untilMs) break;
    }
    return served;
  };

  const work = (): void => {
    if (backlog === undefined) return;
    const nowMs = clock.monotonicMs();
    if (!backlog.isTold && nowMs - backlog.sinceMs >= TOLD_AFTER_MS) {
      backlog.isTold = true;
      logger.event(INTAKE_EVENTS.began, { lagMs: Math.round(watch.lagMs()) });
    }
    if (crowd.takeNew() && nowMs - sliceAtMs < ACCEPT_MS) {
      queue.endTurn();
      turns.atEnd(work);
      return;
    }
    measure(nowMs);
    backlog.most = Math.max(backlog.most, queue.size());
    backlog.gone += dropGone();
    backlog.refused += refuseHopeless(nowMs);
    servedLast = serveSlice(nowMs);
    backlog.served += servedLast;
    queue.endTurn();
    if (queue.size() > 0) turns.atEnd(work);
    else end(backlog);
  };

  return {
    size: () => queue.size(),
    noteConnection: crowd.noteConnection,
    enter(request) {
      const nowMs = clock.monotonicMs();
      if (backlog === undefined && !watch.isLate(nowMs) && !crowd.isCrowd()) {
        request.serve();
        return;
      }
      queue.add(request);
      if (backlog !== undefined) return;
      backlog = begin(nowMs);
      turns.atEnd(work);
    },
  };
}
