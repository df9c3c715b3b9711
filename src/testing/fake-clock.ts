import type { Clock } from '../core/clock';

/** A clock that stands still until it is moved. */
export interface FakeClock extends Clock {
  /** Moves to `atMs`, running every callback that falls due on the way, in order of its time. */
  advanceTo(atMs: number): void;
  /** Moves on by `byMs`, as `advanceTo` does. */
  advanceBy(byMs: number): void;
  /** As `advanceBy`, but lets promises settle after each callback. */
  advanceByAsync(byMs: number): Promise<void>;
  /** Moves on by `byMs` without running anything, as a process finds its clock after it stood still. */
  jumpBy(byMs: number): void;
  /** How many callbacks are waiting; zero shows that nothing was left armed. */
  pendingCount(): number;
}

interface Entry {
  atMs: number;
  order: number;
  callback: () => void;
}

/** Rounds of the event loop that let chains of promises settle between two callbacks. */
const SETTLE_ROUNDS = 4;

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** The Unix time at which a fake clock starts unless told otherwise: 2026-01-01T00:00:00Z. */
export const FAKE_EPOCH_UNIX_MS = 1_767_225_600_000;

/** A fake clock that starts at monotonic 0. */
export function createFakeClock(startUnixMs: number = FAKE_EPOCH_UNIX_MS): FakeClock {
  let nowMs = 0;
  let nextOrder = 0;
  const entries = new Set<Entry>();

  const takeNextDue = (atMs: number): Entry | undefined => {
    let earliest: Entry | undefined;
    for (const entry of entries) {
      const isDue = entry.atMs <= atMs;
      const isEarlier =
        earliest === undefined ||
        entry.atMs < earliest.atMs ||
        (entry.atMs === earliest.atMs && entry.order < earliest.order);
      if (isDue && isEarlier) earliest = entry;
    }
    if (earliest !== undefined) entries.delete(earliest);
    return earliest;
  };

  const runNextDue = (atMs: number): boolean => {
    const due = takeNextDue(atMs);
    if (due === undefined) return false;
    nowMs = Math.max(nowMs, due.atMs);
    due.callback();
    return true;
  };

  const advanceTo = (atMs: number) => {
    while (runNextDue(atMs));
    nowMs = Math.max(nowMs, atMs);
  };

  return {
    monotonicMs: () => nowMs,
    unixMs: () => startUnixMs + nowMs,
    schedule(atMs, callback) {
      const entry: Entry = { atMs, order: nextOrder, callback };
      nextOrder += 1;
      entries.add(entry);
      return {
        [Symbol.dispose]() {
          entries.delete(entry);
        },
      };
    },
    advanceTo,
    advanceBy: (byMs) => advanceTo(nowMs + byMs),
    async advanceByAsync(byMs) {
      const targetMs = nowMs + byMs;
      let ran = true;
      while (ran) {
        for (let round = 0; round < SETTLE_ROUNDS; round += 1) await settle();
        ran = runNextDue(targetMs);
      }
      nowMs = Math.max(nowMs, targetMs);
      for (let round = 0; round < SETTLE_ROUNDS; round += 1) await settle();
    },
    jumpBy(byMs) {
      nowMs += byMs;
    },
    pendingCount: () => entries.size,
  };
}
