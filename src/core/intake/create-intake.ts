import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { RandomSource } from '../random';
import { createBurstWatch } from './burst-watch';
import { INTAKE_EVENTS } from './events';
import { createIntakeQueue } from './intake-queue';
import type { LoopWatch } from './loop-watch';
import type { EventLoopTurns, WaitingRequest } from './types';

/** Receives requests that have been read, and has them served as fast as this process can. */
export interface Intake {
  /** Serves a request immediately, or queues it if the process is behind. */
  enter(request: WaitingRequest): void;
  /** Records that a connection was accepted in the current turn. */
  recordConnection(): void;
  /** Number of waiting requests. */
  size(): number;
}

/** Options of `createIntake`. */
export interface IntakeOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly turns: EventLoopTurns;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly loopWatch: Pick<LoopWatch, 'isLate' | 'lagMs'>;
}

/**
 * Duration of a slice: the time for which waiting requests are served before the event loop polls
 * again, ms. If it is much longer, answers in progress stall meanwhile; if it is much shorter,
 * polling costs as much as serving.
 */
const SLICE_MS = 20;
/**
 * Maximum time for which connections are accepted and read, one per turn, before the next slice,
 * ms. Some dozens are accepted in it on an eighth of a processor, and requests that have been read
 * wait no longer for it than for a usual pause of the process.
 */
const MAX_ACCEPT_MS = 60;
/** Initial estimate of the cost of a request, ms of wall time. */
const INITIAL_COST_MS = 5;
/** Weight of the latest slice in the estimated cost of a request: the last handful decide it. */
const LATEST_SAMPLE_WEIGHT = 0.3;
/**
 * Bounds of the retry delay of refused callers, ms. An immediate retry only adds to the backlog.
 * Callers have a few seconds in all, and follow a delay up to a third of them.
 */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 2_000;

/** Minimum duration of a backlog that is logged, ms: two lines for each shorter one are too many. */
const LOG_AFTER_MS = 100;

/** Counts of a backlog for its last log line. */
interface BacklogCounts {
  readonly sinceMs: number;
  /** Whether the start of the backlog has been logged. */
  isLogged: boolean;
  served: number;
  refused: number;
  gone: number;
  /** Maximum number of requests that waited at once. */
  most: number;
}

/**
 * Creates an intake that queues requests while the event loop is late or connections come in bursts.
 *
 * While the event loop is in time, requests are served immediately. Once it is late, they wait
 * here, where the process can see them: requests whose callers leave are dropped, those that would
 * be too late are refused immediately, and the rest are served in short slices. Between slices the
 * loop handles everything else (answers, closes, heartbeats, the end of a planned stop).
 *
 * The loop accepts one connection per turn. If each turn served a slice as well, a burst of new
 * connections would wait unaccepted for as many slices, and be read after its callers have left:
 * requests were read five seconds late while no more than eight waited here. So as long as turns
 * bring connections, nothing is served for a limited time; the burst is then in the queue, where
 * the newest are served first.
 */
export function createIntake(options: IntakeOptions): Intake {
  const { clock, turns, random, logger, loopWatch } = options;
  const queue = createIntakeQueue();
  let backlog: BacklogCounts | undefined;
  let costMs = INITIAL_COST_MS;
  let servedInLastSlice = 0;
  let sliceStartedAtMs = 0;
  const burstWatch = createBurstWatch(turns);

  const beginBacklog = (nowMs: number): BacklogCounts => {
    servedInLastSlice = 0;
    sliceStartedAtMs = nowMs;
    return { sinceMs: nowMs, isLogged: false, served: 0, refused: 0, gone: 0, most: 0 };
  };

  const endBacklog = ({ sinceMs, isLogged, ...counts }: BacklogCounts): void => {
    backlog = undefined;
    if (!isLogged) return;
    const lastedMs = Math.round(clock.monotonicMs() - sinceMs);
    logger.event(INTAKE_EVENTS.ended, { lastedMs, ...counts });
  };

  /**
   * Updates the estimated cost of a request from the time since the last slice began, including all
   * work between the slices.
   */
  const updateCost = (nowMs: number): void => {
    if (servedInLastSlice > 0) {
      const sample = (nowMs - sliceStartedAtMs) / servedInLastSlice;
      costMs += (sample - costMs) * LATEST_SAMPLE_WEIGHT;
    }
    sliceStartedAtMs = nowMs;
  };

  const dropGone = (): number => {
    const gone = queue.removeGone();
    for (const request of gone) request.drop();
    return gone.length;
  };

  /**
   * Refuses requests that would be served too late. Their retries are spread over the time in which
   * the backlog is processed.
   */
  const refuseTooLate = (nowMs: number): number => {
    const spreadMs = Math.min(
      MAX_RETRY_MS - MIN_RETRY_MS,
      Math.max(MIN_RETRY_MS, queue.size() * costMs),
    );
    const tooLate = queue.removeTooLate(costMs, nowMs);
    for (const request of tooLate) request.refuse(MIN_RETRY_MS + random.next() * spreadMs);
    return tooLate.length;
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

  const processBacklog = (): void => {
    if (backlog === undefined) return;
    const nowMs = clock.monotonicMs();
    if (!backlog.isLogged && nowMs - backlog.sinceMs >= LOG_AFTER_MS) {
      backlog.isLogged = true;
      logger.event(INTAKE_EVENTS.began, { lagMs: Math.round(loopWatch.lagMs()) });
    }
    if (burstWatch.consumeNewConnection() && nowMs - sliceStartedAtMs < MAX_ACCEPT_MS) {
      queue.endTurn();
      turns.atTurnEnd(processBacklog);
      return;
    }
    updateCost(nowMs);
    backlog.most = Math.max(backlog.most, queue.size());
    backlog.gone += dropGone();
    backlog.refused += refuseTooLate(nowMs);
    servedInLastSlice = serveSlice(nowMs);
    backlog.served += servedInLastSlice;
    queue.endTurn();
    if (queue.size() > 0) turns.atTurnEnd(processBacklog);
    else endBacklog(backlog);
  };

  return {
    size: () => queue.size(),
    recordConnection: burstWatch.recordConnection,
    enter(request) {
      const nowMs = clock.monotonicMs();
      if (backlog === undefined && !loopWatch.isLate(nowMs) && !burstWatch.isBurst()) {
        request.serve();
        return;
      }
      queue.add(request);
      if (backlog !== undefined) return;
      backlog = beginBacklog(nowMs);
      turns.atTurnEnd(processBacklog);
    },
  };
}
