/** The virtual clock of a run: callbacks in order of their time, then of their making. */
export interface EventQueue {
  nowMs(): number;
  at(atMs: number, callback: () => void): void;
  after(delayMs: number, callback: () => void): void;
  /** Runs everything due up to `untilMs`. */
  run(untilMs: number): void;
}

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

function isBefore(left: Entry, right: Entry): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

/** An empty queue at 0 ms, kept as a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: Entry[] = [];
  let nowMs = 0;
  let nextOrder = 0;

  const entryAt = (index: number): Entry => heap[index] as Entry;

  const siftUp = (entry: Entry) => {
    let index = heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(entry, entryAt(parent))) break;
      heap[index] = entryAt(parent);
      index = parent;
    }
    heap[index] = entry;
  };

  const siftDown = (entry: Entry) => {
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(entryAt(child + 1), entryAt(child))) child += 1;
      if (!isBefore(entryAt(child), entry)) break;
      heap[index] = entryAt(child);
      index = child;
    }
    heap[index] = entry;
  };

  const takeFirst = (): Entry => {
    const first = entryAt(0);
    const last = heap.pop() as Entry;
    if (heap.length > 0) siftDown(last);
    return first;
  };

  const at = (atMs: number, callback: () => void) => {
    const entry = { atMs: Math.max(atMs, nowMs), order: nextOrder, callback };
    nextOrder += 1;
    heap.push(entry);
    siftUp(entry);
  };

  return {
    nowMs: () => nowMs,
    at,
    after: (delayMs, callback) => at(nowMs + delayMs, callback),
    run(untilMs) {
      while (heap.length > 0 && entryAt(0).atMs <= untilMs) {
        const entry = takeFirst();
        nowMs = entry.atMs;
        entry.callback();
      }
      nowMs = Math.max(nowMs, untilMs);
    },
  };
}
