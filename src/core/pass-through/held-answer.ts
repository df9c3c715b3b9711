import type { AnswerListener, ExchangeEnd } from '../exchanges';

/** Listener of an exchange whose answer can be held back for a while. */
export interface HeldAnswer extends AnswerListener {
  /** Whether bytes have arrived that are held back. */
  readonly hasArrived: boolean;
  /** Holds back what arrives from now on, but for a loss. Reading has to be paused, so that it is little. */
  hold(): void;
  /** Passes on what was held back, and all that follows. */
  release(): void;
  /** Passes on a held end without the bytes before it, which nothing waits for any more. */
  drop(): void;
}

/** Creates a listener that passes everything on until it is told to hold it back. */
export function createHeldAnswer(listener: AnswerListener): HeldAnswer {
  let isHeld = false;
  let chunks: Buffer[] = [];
  let heldEnd: ExchangeEnd | undefined;

  const takeEnd = (): ExchangeEnd | undefined => {
    const end = heldEnd;
    heldEnd = undefined;
    return end;
  };

  return {
    get hasArrived() {
      return chunks.length > 0 || heldEnd !== undefined;
    },
    onHead: listener.onHead,
    onData(chunk) {
      if (isHeld) chunks.push(Buffer.from(chunk));
      else listener.onData(chunk);
    },
    onEnd(end) {
      if (isHeld && end.kind === 'whole') heldEnd = end;
      else listener.onEnd(end);
    },
    hold() {
      isHeld = true;
    },
    release() {
      isHeld = false;
      const arrived = chunks;
      chunks = [];
      for (const chunk of arrived) listener.onData(chunk);
      const end = takeEnd();
      if (end !== undefined) listener.onEnd(end);
    },
    drop() {
      chunks = [];
      const end = takeEnd();
      if (end !== undefined) listener.onEnd(end);
    },
  };
}
