import { createHeap } from './heap';
import type { Heap } from './heap';
import type { QueueEntry } from './types';

/**
 * Waiting requests of one priority class: start-time fair queueing between callers by estimated work, and short
 * work before long work within a caller.
 *
 * In a single FIFO queue, everyone waits behind the thousand requests of one batch job, and the latency of all
 * callers rises with the rate of one. Here each caller has a tag that grows by the work it was given, and the
 * caller with the lowest tag goes next. A caller that was idle starts at the current tag, so that its pause is
 * neither an advantage nor a disadvantage.
 */
export interface ClassQueue<Item> {
  size(): number;
  units(): number;
  unitsAhead(callerId: string, units: number): number;
  takeSparseTurn(callerId: string, units: number): boolean;
  push(entry: QueueEntry<Item>): void;
  peek(): QueueEntry<Item> | undefined;
  shift(): QueueEntry<Item> | undefined;
  remove(entry: QueueEntry<Item>): void;
  /** Returns the arrival time of the entry that has waited longest; undefined when nothing waits. */
  oldestArrivalAtMs(): number | undefined;
  /** Makes the entry that has waited longest the next one. */
  promoteOldest(): void;
}

/**
 * Time by which a shorter request of the same caller may arrive later and still go first, per unit of difference in
 * size. Half a ms per unit is about the time a unit takes to run, so long work can be overtaken only by requests
 * that arrive while it would itself have been running, and never starves.
 */
export const OVERTAKING_MS_PER_UNIT = 0.5;

/**
 * Number of callers without waiting requests whose flows are kept. Above it, flows are dropped if their tag is not
 * above the current one: a new flow of the caller would be equal.
 */
const MAX_IDLE_CALLERS = 256;

interface CallerFlow<Item> {
  /** Work given to the caller so far, on the scale of `currentTag`. */
  tag: number;
  queuedUnits: number;
  queuedCount: number;
  readonly entries: Heap<QueueEntry<Item>>;
}

function orderKey<Item>(entry: QueueEntry<Item>): number {
  return entry.arrivedAtMs + entry.units * OVERTAKING_MS_PER_UNIT;
}

/** Creates an empty queue for one class. */
export function createClassQueue<Item>(): ClassQueue<Item> {
  const flows = new Map<string, CallerFlow<Item>>();
  const turns = createHeap<{ readonly tag: number; readonly flow: CallerFlow<Item> }>(
    (left, right) => left.tag < right.tag,
  );
  const byAge = createHeap<QueueEntry<Item>>((left, right) => left.arrivedAtMs < right.arrivedAtMs);
  const waiting = new Set<QueueEntry<Item>>();
  let promoted: QueueEntry<Item> | undefined;
  // The virtual time of fair queueing: the tag at which a caller that was idle starts.
  let currentTag = 0;
  let totalUnits = 0;
  let activeCallers = 0;

  const dropIdleFlows = () => {
    if (flows.size <= 2 * activeCallers + MAX_IDLE_CALLERS) return;
    for (const [callerId, flow] of flows) {
      if (flow.queuedCount === 0 && flow.tag <= currentTag) flows.delete(callerId);
    }
  };

  const flowOf = (callerId: string): CallerFlow<Item> => {
    const known = flows.get(callerId);
    if (known !== undefined) return known;
    const flow: CallerFlow<Item> = {
      tag: currentTag,
      queuedUnits: 0,
      queuedCount: 0,
      entries: createHeap((left, right) => orderKey(left) < orderKey(right)),
    };
    flows.set(callerId, flow);
    dropIdleFlows();
    return flow;
  };

  const removeWaiting = (entry: QueueEntry<Item>): CallerFlow<Item> => {
    const flow = flowOf(entry.callerId);
    waiting.delete(entry);
    flow.queuedCount -= 1;
    flow.queuedUnits -= entry.units;
    totalUnits -= entry.units;
    if (flow.queuedCount === 0) activeCallers -= 1;
    if (promoted === entry) promoted = undefined;
    return flow;
  };

  /**
   * Discards outdated turns (their caller has no waiting requests or has been given work since) and removed entries
   * from the top.
   */
  const discardStaleTurns = () => {
    for (let top = turns.peek(); top !== undefined; top = turns.peek()) {
      const { flow, tag } = top;
      if (flow.queuedCount > 0 && flow.tag === tag) {
        for (let first = flow.entries.peek(); first !== undefined; first = flow.entries.peek()) {
          if (waiting.has(first)) return;
          flow.entries.pop();
        }
      }
      turns.pop();
    }
  };

  const peek = (): QueueEntry<Item> | undefined => {
    if (promoted !== undefined) return promoted;
    discardStaleTurns();
    return turns.peek()?.flow.entries.peek();
  };

  const oldest = (): QueueEntry<Item> | undefined => {
    for (let first = byAge.peek(); first !== undefined; first = byAge.peek()) {
      if (waiting.has(first)) return first;
      byAge.pop();
    }
    return undefined;
  };

  return {
    size: () => waiting.size,
    units: () => totalUnits,
    unitsAhead(callerId, units) {
      const own = flows.get(callerId)?.queuedUnits ?? 0;
      return Math.min(totalUnits, own + activeCallers * (own + units));
    },
    takeSparseTurn(callerId, units) {
      const flow = flowOf(callerId);
      if (flow.queuedCount > 0 || flow.tag > currentTag) return false;
      flow.tag = currentTag + units;
      return true;
    },
    push(entry) {
      const flow = flowOf(entry.callerId);
      if (flow.queuedCount === 0) {
        flow.tag = Math.max(flow.tag, currentTag);
        activeCallers += 1;
        turns.push({ tag: flow.tag, flow });
      }
      flow.queuedCount += 1;
      flow.queuedUnits += entry.units;
      totalUnits += entry.units;
      flow.entries.push(entry);
      byAge.push(entry);
      waiting.add(entry);
    },
    peek,
    shift() {
      const entry = peek();
      if (entry === undefined) return undefined;
      const flow = removeWaiting(entry);
      currentTag = Math.max(currentTag, Math.min(flow.tag, turns.peek()?.tag ?? flow.tag));
      flow.tag += entry.units;
      if (flow.queuedCount > 0) turns.push({ tag: flow.tag, flow });
      return entry;
    },
    remove(entry) {
      if (waiting.has(entry)) removeWaiting(entry);
    },
    oldestArrivalAtMs: () => oldest()?.arrivedAtMs,
    promoteOldest() {
      promoted = oldest();
    },
  };
}
