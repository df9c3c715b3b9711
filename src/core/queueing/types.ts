import type { Priority } from '../configuration';

/** A request that waits for its turn. */
export interface QueueEntry<Item> {
  readonly item: Item;
  readonly callerId: string;
  readonly priority: Priority;
  /** Estimated work. */
  readonly units: number;
  readonly arrivedAtMs: number;
  /** Latest start at which it can complete before its deadline. */
  readonly latestStartAtMs: number;
}

/** Waiting requests of one service, in the order in which they are to run. */
export interface FairQueue<Item> {
  size(): number;
  /** Returns the work that waits in a class. */
  queuedUnits(priority: Priority): number;
  /** Returns the work that is likely to run before a request of this caller that arrives now. */
  unitsAhead(priority: Priority, callerId: string, units: number): number;
  /**
   * Returns whether a caller has recently had less than its fair share and has nothing waiting (a sparse flow). If
   * so, `units` are charged to it, as for a turn.
   */
  takeSparseTurn(priority: Priority, callerId: string, units: number): boolean;
  push(entry: QueueEntry<Item>): void;
  /**
   * Returns the entry whose turn it is; it stays in the queue until `shift`. `blocked` is a class without capacity,
   * so that the other has its turn.
   */
  peek(nowMs: number, blocked?: Priority): QueueEntry<Item> | undefined;
  /** Removes and returns the entry that `peek` returns for the same arguments. */
  shift(nowMs: number, blocked?: Priority): QueueEntry<Item> | undefined;
  /** Removes an entry, for example because its caller has disconnected. */
  remove(entry: QueueEntry<Item>): void;
  /** Removes and returns all entries that can no longer complete before their deadline. */
  takeExpired(nowMs: number): readonly QueueEntry<Item>[];
  /** Returns the time at which the next entry expires; undefined when nothing waits. */
  nextExpiryAtMs(): number | undefined;
}
