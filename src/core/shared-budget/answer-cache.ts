/** Keeps the answers to messages that may be sent again, so that a repeated one is not counted twice. */
export interface AnswerCache<Answer> {
  /** Returns the answer to a message, and creates it if the message has not been answered before. */
  getOrCreate(messageKey: string, nowMs: number, create: () => Answer): Answer;
}

/** Creates an empty cache that keeps each answer for `minTtlMs` to twice as long. */
export function createAnswerCache<Answer>(minTtlMs: number): AnswerCache<Answer> {
  // Two generations, so that nothing has to be looked through to find what has expired.
  let current = new Map<string, Answer>();
  let previous = current;
  let currentSinceMs = 0;
  return {
    getOrCreate(messageKey, nowMs, create) {
      if (nowMs - currentSinceMs >= minTtlMs) {
        previous = current;
        current = new Map();
        currentSinceMs = nowMs;
      }
      const answer = current.get(messageKey) ?? previous.get(messageKey) ?? create();
      current.set(messageKey, answer);
      return answer;
    },
  };
}
