/** One attempt that a sender has handed over or given up. */
export interface Attempt {
  readonly cancelled: boolean;
  /** Whether bytes may have left for a server. */
  readonly maySend: boolean;
  /** Whether serving it has ended; of an attempt that never came, from the start. */
  readonly over: boolean;
  /** Given up; true if nothing has left. */
  cancel(): boolean;
  noteSend(): void;
  /** Of the last send nothing has left. */
  undoSend(): void;
  finish(): void;
}

function createAttempt(came: boolean): Attempt {
  let cancelled = !came;
  let over = !came;
  let sends = 0;
  return {
    get cancelled() {
      return cancelled;
    },
    get maySend() {
      return sends > 0;
    },
    get over() {
      return over;
    },
    cancel() {
      cancelled = true;
      return sends === 0;
    },
    noteSend() {
      sends += 1;
    },
    undoSend() {
      sends -= 1;
    },
    finish() {
      over = true;
    },
  };
}

/** The attempts of one sender process, by serial. */
export interface SenderAttempts {
  readonly size: number;
  find(serial: number): Attempt | undefined;
  /** Whether the serial is so old that it may have been forgotten. */
  isForgotten(serial: number): boolean;
  /** An attempt that came. */
  accept(serial: number): Attempt;
  /** A tombstone for an attempt that has not come yet. */
  bury(serial: number): void;
}

/**
 * Remembers up to `most` attempts. Beyond that the oldest that are over are dropped, and the floor rises over
 * them: no serial up to the floor is ever taken in, so a tombstone that was dropped still holds.
 */
export function createSenderAttempts(most: number): SenderAttempts {
  const attempts = new Map<number, Attempt>();
  let floor = 0;

  const compact = () => {
    if (attempts.size <= most) return;
    for (const [serial, attempt] of attempts) {
      if (attempts.size <= most / 2) return;
      if (!attempt.over) continue;
      attempts.delete(serial);
      floor = Math.max(floor, serial);
    }
  };

  const add = (serial: number, came: boolean): Attempt => {
    const attempt = createAttempt(came);
    attempts.set(serial, attempt);
    compact();
    return attempt;
  };

  return {
    get size() {
      return attempts.size;
    },
    find: (serial) => attempts.get(serial),
    isForgotten: (serial) => serial <= floor && !attempts.has(serial),
    accept: (serial) => add(serial, true),
    bury: (serial) => {
      add(serial, false);
    },
  };
}
