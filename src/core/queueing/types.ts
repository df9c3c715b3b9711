import type { Priority } from '../configuration';

/** What waits for its turn. */
export interface QueueEntry<Item> {
  readonly item: Item;
  readonly callerId: string;
  readonly priority: Priority;
  /** Estimated work. */
  readonly units: number;
  readonly arrivedAtMs: number;
  /** Begun later than this it can't be whole before its deadline. */
  readonly latestStartAtMs: number;
}

/** Waiting requests of one service, in the order in which they shall run. */
export interface FairQueue<Item> {
  size(): number;
  /** Work waiting in a class. */
  queuedUnits(priority: Priority): number;
  /** Work that would probably run before a request of this caller that came now. */
  unitsAhead(priority: Priority, callerId: string, units: number): number;
  /**
   * Whether a caller has had less than its fair part of late and has nothing waiting; if so, `units` are put to
   * its account, as for a turn.
   */
  takeSparseTurn(priority: Priority, callerId: string, units: number): boolean;
  push(entry: QueueEntry<Item>): void;
  /** The entry whose turn it is; it stays until `shift`. */
  peek(nowMs: number, blocked?: Priority): QueueEntry<Item> | undefined;
  /** Takes what `peek` showed. `blocked` is a class for which there is no room, so that the other has its turn. */
  shift(nowMs: number, blocked?: Priority): QueueEntry<Item> | undefined;
  /** Takes an entry out, for example since its caller has gone. */
  remove(entry: QueueEntry<Item>): void;
  /** Takes out all that can no longer be whole before their deadline. */
  takeExpired(nowMs: number): readonly QueueEntry<Item>[];
  /** When the next entry expires; undefined when nothing waits. */
  nextExpiryAtMs(): number | undefined;
}
