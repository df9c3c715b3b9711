import type { EndlessBytes, EndlessShape } from '../outcomes';

/**
 * Bounds the bytes that a connection carries besides final heads and bodies. The HTTP client reads interim answers, empty
 * lines and the framing of chunks for as long as the other side writes them.
 */
export interface FramingBound {
  /** Records that a request is being written, after `readBytes` in total. */
  recordRequest(readBytes: number): void;
  /** Records the first bytes of a head, be it of an interim answer. */
  recordHeadBegin(): void;
  recordInterimAnswer(): void;
  /** Records a complete final head. */
  recordHead(readBytes: number): void;
  /** Records bytes of the body, which are progress. */
  recordBody(readBytes: number): void;
  /** Records that nothing more of the answer is of use: from here on, its body counts like framing. */
  recordDiscard(readBytes: number): void;
  /** Records that the exchange has ended and that nothing is expected any more. */
  recordEnd(readBytes: number): void;
  /** Returns what has exceeded the bound once `readBytes` have been read in total; undefined while nothing has. */
  findEndless(readBytes: number): EndlessBytes | undefined;
  /** Returns whether anything has been read since the request. */
  hasAnswerBegun(readBytes: number): boolean;
  /** Returns what has been read since the last progress, be it within the bound. */
  sinceProgress(readBytes: number): EndlessBytes;
}

/** Maximum bytes without progress: four heads of the largest size that is accepted. */
export const MAX_FRAMING_BYTES = 65_536;

/** Maximum bytes of an answer that are read only so that its connection can be used again. */
export const MAX_REST_BYTES = 16_384;

type Phase = 'betweenAnswers' | 'beforeHead' | 'inHead' | 'inBody' | 'inRest';

/** Creates the bound of a new connection. */
export function createFramingBound(): FramingBound {
  let phase: Phase = 'betweenAnswers';
  let hasInterimAnswers = false;
  let requestAtBytes = 0;
  let progressAtBytes = 0;

  const shape = (): EndlessShape => {
    switch (phase) {
      case 'inBody':
        return 'chunkFraming';
      case 'inRest':
        return 'answerBody';
      case 'inHead':
        return hasInterimAnswers ? 'interimAnswers' : 'head';
      case 'beforeHead':
        return hasInterimAnswers ? 'interimAnswers' : 'emptyLines';
      case 'betweenAnswers':
        return 'emptyLines';
      default:
        return phase satisfies never;
    }
  };

  const sinceProgress = (readBytes: number): EndlessBytes => {
    // A read that was cut short by a pause is given back, so that less counts as read than at the last progress.
    progressAtBytes = Math.min(progressAtBytes, readBytes);
    return { shape: shape(), bytes: readBytes - progressAtBytes };
  };

  return {
    recordRequest(readBytes) {
      phase = 'beforeHead';
      hasInterimAnswers = false;
      requestAtBytes = readBytes;
      progressAtBytes = readBytes;
    },
    recordHeadBegin() {
      phase = 'inHead';
    },
    recordInterimAnswer() {
      phase = 'beforeHead';
      hasInterimAnswers = true;
    },
    recordHead(readBytes) {
      phase = 'inBody';
      progressAtBytes = readBytes;
    },
    recordBody(readBytes) {
      if (phase === 'inBody') progressAtBytes = readBytes;
    },
    recordDiscard(readBytes) {
      phase = 'inRest';
      progressAtBytes = readBytes;
    },
    recordEnd(readBytes) {
      phase = 'betweenAnswers';
      hasInterimAnswers = false;
      progressAtBytes = readBytes;
    },
    findEndless(readBytes) {
      const found = sinceProgress(readBytes);
      const maxBytes = phase === 'inRest' ? MAX_REST_BYTES : MAX_FRAMING_BYTES;
      return found.bytes > maxBytes ? found : undefined;
    },
    hasAnswerBegun: (readBytes) => readBytes > requestAtBytes,
    sinceProgress,
  };
}
