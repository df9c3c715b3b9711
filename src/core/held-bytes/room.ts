/** Room of one instance for the bytes that it holds of answers. */
export interface HoldingRoom {
  /** Begins to hold parts of one answer. `onRoom` is called when the answer may be read on after it had to wait. */
  open(onRoom: () => void): RoomHolder;
  /** Number of bytes held, of all answers. */
  heldBytes(): number;
}

/** Part of the room that one answer takes. */
export interface RoomHolder extends Disposable {
  /** Sets the bytes that are held of the answer. Returns whether it may be read on now. */
  hold(bytes: number): boolean;
}

/** Options of `createHoldingRoom`. */
export interface HoldingRoomOptions {
  /** Bytes that may be held of all answers together, without small parts. */
  readonly totalBytes: number;
  /** Maximum size of what is held of one answer, bytes; its reader ends what would be larger. */
  readonly largestBytes: number;
  /** Bytes of one answer that may be held at any time, so that usual answers never wait for large ones. */
  readonly smallBytes: number;
  /** Calls back once what is being done is done: the HTTP client can't resume an answer while it reads another one. */
  readonly afterwards: (callback: () => void) => void;
}

interface Holder {
  bytes: number;
  isWaiting: boolean;
  readonly onRoom: () => void;
}

/**
 * Creates an empty room.
 *
 * Answers are read on until half of the room is full. The other half is for the largest ones to become whole: as many of
 * them are read on as could all grow to their maximum. If all were read until the room is full, none could become whole; if
 * only the largest one were read on, all others would wait for its server, which may be silent.
 */
export function createHoldingRoom(options: HoldingRoomOptions): HoldingRoom {
  const { totalBytes, largestBytes, smallBytes, afterwards } = options;
  const holders = new Set<Holder>();
  let willWakeUp = false;
  let heldBytes = 0;
  /** Bytes that are held beyond the small parts. */
  let largeBytes = 0;
  const freelyHeldBytes = totalBytes / 2;

  const largeBytesOf = (bytes: number): number => Math.max(0, bytes - smallBytes);

  const isLarge = ({ bytes }: Holder): boolean => bytes > smallBytes;

  /** Returns whether it and all larger ones, the earliest of several equal ones first, can grow to their maximum. */
  const canBecomeWhole = (holder: Holder): boolean => {
    let wantedBytes = largestBytes - holder.bytes;
    let isLargest = true;
    let isBefore = true;
    for (const other of holders) {
      if (other === holder) isBefore = false;
      else if (other.bytes > holder.bytes || (isBefore && other.bytes === holder.bytes)) {
        wantedBytes += largestBytes - other.bytes;
        isLargest = false;
      }
    }
    return isLargest || largeBytes + wantedBytes <= totalBytes;
  };

  const mayReadOn = (holder: Holder): boolean =>
    !isLarge(holder) || heldBytes <= freelyHeldBytes || canBecomeWhole(holder);

  const wakeUp = (): void => {
    willWakeUp = false;
    for (const holder of [...holders]) {
      if (!holders.has(holder) || !holder.isWaiting || !mayReadOn(holder)) continue;
      holder.isWaiting = false;
      holder.onRoom();
    }
  };

  const wakeUpAfterwards = (): void => {
    if (willWakeUp) return;
    willWakeUp = true;
    afterwards(wakeUp);
  };

  return {
    heldBytes: () => heldBytes,
    open(onRoom) {
      const holder: Holder = { bytes: 0, isWaiting: false, onRoom };
      holders.add(holder);
      const setBytes = (bytes: number): void => {
        const isLess = bytes < holder.bytes;
        heldBytes += bytes - holder.bytes;
        largeBytes += largeBytesOf(bytes) - largeBytesOf(holder.bytes);
        holder.bytes = bytes;
        if (isLess) wakeUpAfterwards();
      };
      return {
        hold(bytes) {
          if (!holders.has(holder)) return true;
          setBytes(bytes);
          holder.isWaiting = !mayReadOn(holder);
          return !holder.isWaiting;
        },
        [Symbol.dispose]() {
          if (holders.delete(holder)) setBytes(0);
        },
      };
    },
  };
}
