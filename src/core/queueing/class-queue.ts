import { createHeap } from './heap';
import type { Heap } from './heap';
import type { QueueEntry } from './types';

/**
 * The waiting requests of one priority class: start-time fair queueing between callers by estimated work, and
 * short work before long within a caller.
 *
 * It answers a few callers that bring most of the load. In one common FIFO queue everyone waits behind the
 * thousand requests of a batch job; one would notice that all callers' latency rises with one caller's rate.
 * Here each caller has a tag that grows by the work it was given, and the lowest tag goes next; a caller that
 * was idle starts at the current tag, so that it neither pays for nor profits from its pause.
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
  /** When the one that has waited longest came; undefined when nothing waits. */
  oldestArrivalAtMs(): number | undefined;
  /** Makes the one that has waited longest the next. */
  promoteOldest(): void;
}

/**
 * How long after it a shorter request of the same caller may come and still go first, per unit that it is
 * shorter. Half a ms a unit is about what a unit takes to run: long work can be overtaken only by what
 * comes while it would itself have been running, so it never waits for ever.
 */
export const OVERTAKING_MS_PER_UNIT = 0.5;

/** Callers whose accounts are kept although nothing of theirs waits; beyond it, settled ones are dropped. */
const KEPT_IDLE_CALLERS = 256;

interface CallerFlow<Item> {
  /** Work given to the caller so far, on the class's common scale. */
  tag: number;
  queuedUnits: number;
  queuedCount: number;
  readonly entries: Heap<QueueEntry<Item>>;
}

function rank<Item>(entry: QueueEntry<Item>): number {
  return entry.arrivedAtMs + entry.units * OVERTAKING_MS_PER_UNIT;
}

/** An empty class. */
export function createClassQueue<Item>(): ClassQueue<Item> {
  const flows = new Map<string, CallerFlow<Item>>();
  const turns = createHeap<{ readonly tag: number; readonly flow: CallerFlow<Item> }>(
    (left, right) => left.tag < right.tag,
  );
  const byAge = createHeap<QueueEntry<Item>>((left, right) => left.arrivedAtMs < right.arrivedAtMs);
  const waiting = new Set<QueueEntry<Item>>();
  let promoted: QueueEntry<Item> | undefined;
  let currentTag = 0;
  let totalUnits = 0;
  let activeCallers = 0;

  const dropSettled = () => {
    if (flows.size <= 2 * activeCallers + KEPT_IDLE_CALLERS) return;
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
      entries: createHeap((left, right) => rank(left) < rank(right)),
    };
    flows.set(callerId, flow);
    dropSettled();
    return flow;
  };

  const forget = (entry: QueueEntry<Item>): CallerFlow<Item> => {
    const flow = flowOf(entry.callerId);
    waiting.delete(entry);
    flow.queuedCount -= 1;
    flow.queuedUnits -= entry.units;
    totalUnits -= entry.units;
    if (flow.queuedCount === 0) activeCallers -= 1;
    if (promoted === entry) promoted = undefined;
    return flow;
  };

  /** Drops turns whose caller has nothing waiting or has been given work since, and removed entries. */
  const settleTop = () => {
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
    settleTop();
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
      const flow = forget(entry);
      currentTag = Math.max(currentTag, Math.min(flow.tag, turns.peek()?.tag ?? flow.tag));
      flow.tag += entry.units;
      if (flow.queuedCount > 0) turns.push({ tag: flow.tag, flow });
      return entry;
    },
    remove(entry) {
      if (waiting.has(entry)) forget(entry);
    },
    oldestArrivalAtMs: () => oldest()?.arrivedAtMs,
    promoteOldest() {
      promoted = oldest();
    },
  };
}
