/** Bytes that an instance may hold of what callers and servers send. */
export interface MemoryShares {
  /** Bodies of requests, bytes. */
  readonly bodyBytes: number;
  /** Parts of answers that wait for more, bytes. */
  readonly answerBytes: number;
}

/** Shares of the memory of a process; the rest is for the program, its state, and buffers that are not yet collected. */
const BODY_SHARE = 0.3;
const ANSWER_SHARE = 0.19;

/** Divides the memory that the process may take. */
export function shareMemory(memoryBytes: number): MemoryShares {
  return {
    bodyBytes: Math.floor(BODY_SHARE * memoryBytes),
    answerBytes: Math.floor(ANSWER_SHARE * memoryBytes),
  };
}
