import type { Clock } from '../core/clock';

/** A fake clock for many tasks: a heap of timers, and one turn of the event loop for each point in time. */
export interface VirtualClock extends Clock {
  /** Moves on by `byMs`, running what falls due and letting promises settle after each point in time. */
  runFor(byMs: number): Promise<void>;
}

interface Timer {
  readonly atMs: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

const EPOCH_UNIX_MS = 1_767_225_600_000;

function isBefore(left: Timer, right: Timer): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

/** A binary heap of timers, earliest first. */
function createTimerHeap() {
  const heap: Timer[] = [];

  const swap = (left: number, right: number) => {
    const held = heap[left] as Timer;
    heap[left] = heap[right] as Timer;
    heap[right] = held;
  };

  const siftUp = (start: number) => {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(heap[index] as Timer, heap[parent] as Timer)) return;
      swap(index, parent);
      index = parent;
    }
  };

  const siftDown = () => {
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let least = index;
      if (left < heap.length && isBefore(heap[left] as Timer, heap[least] as Timer)) least = left;
      if (right < heap.length && isBefore(heap[right] as Timer, heap[least] as Timer)) {
        least = right;
      }
      if (least === index) return;
      swap(index, least);
      index = least;
    }
  };

  return {
    peek: () => heap[0],
    push(timer: Timer) {
      heap.push(timer);
      siftUp(heap.length - 1);
    },
    pop(): Timer | undefined {
      const first = heap[0];
      const last = heap.pop();
      if (heap.length > 0 && last !== undefined) {
        heap[0] = last;
        siftDown();
      }
      return first;
    },
  };
}

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A virtual clock at monotonic 0. */
export function createVirtualClock(): VirtualClock {
  const heap = createTimerHeap();
  let nowMs = 0;
  let nextOrder = 0;

  const runDueAt = (atMs: number) => {
    for (let next = heap.peek(); next !== undefined && next.atMs <= atMs; next = heap.peek()) {
      heap.pop();
      next.callback?.();
    }
  };

  return {
    monotonicMs: () => nowMs,
    unixMs: () => EPOCH_UNIX_MS + nowMs,
    schedule(atMs, callback) {
      // Whole milliseconds gather what happens together, so that fewer turns of the event loop are needed.
      const timer: Timer = { atMs: Math.ceil(Math.max(atMs, nowMs)), order: nextOrder, callback };
      nextOrder += 1;
      heap.push(timer);
      return {
        [Symbol.dispose]() {
          timer.callback = undefined;
        },
      };
    },
    async runFor(byMs) {
      const endMs = nowMs + byMs;
      await settle();
      for (let next = heap.peek(); next !== undefined && next.atMs <= endMs; next = heap.peek()) {
        nowMs = Math.max(nowMs, next.atMs);
        runDueAt(nowMs);
        await settle();
      }
      nowMs = endMs;
    },
  };
}
