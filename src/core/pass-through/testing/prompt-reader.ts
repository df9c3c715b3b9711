/** Time to read one prompt token, ms: the speed of large accelerators. */
export const READ_MS_PER_TOKEN = 0.02;
/** Prompt tokens that a server reads before it may continue with a more urgent prompt. */
const CHUNK_TOKENS = 2_000;

/** A prompt that a server has yet to read. */
export interface WaitingPrompt {
  readonly priority: number;
  remainingTokens: number;
  /** Called when the prompt has been read. */
  readonly onRead: (atMs: number) => void;
}

/** A server that reads one prompt at a time, the most urgent first. */
export interface SimulatedReader {
  add(prompt: WaitingPrompt, nowMs: number): void;
  /** Reads up to a time. */
  advance(toMs: number): void;
}

/** Interval in which the speed of a server counts as constant, ms. */
const SPEED_STEP_MS = 5;

/** Returns the time at which work ends that takes `usualMs` at the usual speed, at a speed that changes. */
function endOfWork(startMs: number, usualMs: number, slowdownAt: (atMs: number) => number): number {
  let atMs = startMs;
  for (let remainingMs = usualMs; remainingMs > 0;) {
    const slowdown = slowdownAt(atMs);
    const doneMs = Math.min(remainingMs, SPEED_STEP_MS / slowdown);
    remainingMs -= doneMs;
    atMs += doneMs * slowdown;
  }
  return atMs;
}

/**
 * Creates a server without prompts. `slowdownAt` returns how much longer than usual its work takes at a time; it has the
 * usual speed by default.
 */
export function createReader(slowdownAt?: (atMs: number) => number): SimulatedReader {
  const waiting: WaitingPrompt[] = [];
  let readUntilMs = 0;
  const advance = (toMs: number): void => {
    for (;;) {
      const next = waiting[0];
      if (next === undefined || readUntilMs >= toMs) return;
      const tokens = Math.min(CHUNK_TOKENS, next.remainingTokens);
      next.remainingTokens -= tokens;
      const readMs = tokens * READ_MS_PER_TOKEN;
      readUntilMs =
        slowdownAt === undefined
          ? readUntilMs + readMs
          : endOfWork(readUntilMs, readMs, slowdownAt);
      if (next.remainingTokens > 0) continue;
      waiting.shift();
      next.onRead(readUntilMs);
    }
  };
  return {
    add(prompt, nowMs) {
      advance(nowMs);
      if (waiting.length === 0) readUntilMs = Math.max(readUntilMs, nowMs);
      const behind = waiting.findIndex(({ priority }) => priority > prompt.priority);
      waiting.splice(behind === -1 ? waiting.length : behind, 0, prompt);
    },
    advance,
  };
}
