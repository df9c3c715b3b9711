import type { Priority } from '../configuration';
import { createClassQueue } from './class-queue';
import { createHeap } from './heap';
import type { FairQueue, QueueEntry } from './types';

/** Options for how a queue divides its turns between priority classes. */
export interface FairQueueOptions {
  /** Share of the work that batch requests get while interactive requests wait too, 0 to 1. */
  readonly batchShare: number;
  /** A batch request that has waited longer than this goes next, whatever else waits, ms. */
  readonly batchLongestWaitMs: number;
}

function otherOf(priority: Priority): Priority {
  return priority === 'interactive' ? 'batch' : 'interactive';
}

/**
 * Creates a queue for the waiting requests of one service.
 *
 * Long work must not delay short work: reading a floor plan or a dossier takes as much as a hundred stock checks,
 * and in a FIFO queue the checks would wait behind it. Interactive work goes first. Batch work keeps a share of the
 * turns, and goes next once it has waited for its maximum wait; without that bound, a busy day would hold it for
 * hours. Requests that can no longer complete before their deadline leave the queue before they run. Otherwise the
 * servers would be busy with answers that nobody waits for, and every request behind them would miss its deadline
 * too.
 */
export function createFairQueue<Item>(options: FairQueueOptions): FairQueue<Item> {
  const classes = {
    interactive: createClassQueue<Item>(),
    batch: createClassQueue<Item>(),
  } satisfies Record<Priority, unknown>;
  const weights: Readonly<Record<Priority, number>> = {
    interactive: 1 - options.batchShare,
    batch: options.batchShare,
  };
  /** Weighted work given to each class while both had waiting requests. */
  const tags: Record<Priority, number> = { interactive: 0, batch: 0 };
  const expiries = createHeap<QueueEntry<Item>>(
    (left, right) => left.latestStartAtMs < right.latestStartAtMs,
  );
  const waiting = new Set<QueueEntry<Item>>();

  const nextClass = (nowMs: number, blocked: Priority | undefined): Priority => {
    if (blocked !== undefined) return otherOf(blocked);
    if (classes.interactive.size() === 0) return 'batch';
    if (classes.batch.size() === 0) return 'interactive';
    const oldestBatchAtMs = classes.batch.oldestArrivalAtMs() ?? nowMs;
    if (nowMs - oldestBatchAtMs > options.batchLongestWaitMs) {
      classes.batch.promoteOldest();
      return 'batch';
    }
    return tags.interactive <= tags.batch ? 'interactive' : 'batch';
  };

  const firstToExpire = (): QueueEntry<Item> | undefined => {
    for (let first = expiries.peek(); first !== undefined; first = expiries.peek()) {
      if (waiting.has(first)) return first;
      expiries.pop();
    }
    return undefined;
  };

  const remove = (entry: QueueEntry<Item>) => {
    waiting.delete(entry);
    classes[entry.priority].remove(entry);
  };

  return {
    size: () => waiting.size,
    queuedUnits: (priority) => classes[priority].units(),
    unitsAhead(priority, callerId, units) {
      const ownClass = classes[priority].unitsAhead(callerId, units);
      const otherPriority = otherOf(priority);
      const otherUnits = classes[otherPriority].units();
      const otherClassShare = (weights[otherPriority] / weights[priority]) * (ownClass + units);
      return ownClass + Math.min(otherUnits, otherClassShare);
    },
    takeSparseTurn: (priority, callerId, units) =>
      classes[priority].takeSparseTurn(callerId, units),
    push(entry) {
      const own = classes[entry.priority];
      if (own.size() === 0) {
        const { priority } = entry;
        tags[priority] = Math.max(tags[priority], tags[otherOf(priority)]);
      }
      own.push(entry);
      expiries.push(entry);
      waiting.add(entry);
    },
    peek: (nowMs, blocked) => classes[nextClass(nowMs, blocked)].peek(),
    shift(nowMs, blocked) {
      const priority = nextClass(nowMs, blocked);
      const entry = classes[priority].shift();
      if (entry === undefined) return undefined;
      waiting.delete(entry);
      tags[priority] += entry.units / weights[priority];
      return entry;
    },
    remove,
    takeExpired(nowMs) {
      const expired: QueueEntry<Item>[] = [];
      for (let first = firstToExpire(); first !== undefined; first = firstToExpire()) {
        if (first.latestStartAtMs >= nowMs) break;
        remove(first);
        expired.push(first);
      }
      return expired;
    },
    nextExpiryAtMs: () => firstToExpire()?.latestStartAtMs,
  };
}
