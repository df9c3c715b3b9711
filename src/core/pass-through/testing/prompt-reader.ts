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

/** Creates a server without prompts. */
export function createReader(): SimulatedReader {
  const waiting: WaitingPrompt[] = [];
  let readUntilMs = 0;
  const advance = (toMs: number): void => {
    for (;;) {
      const next = waiting[0];
      if (next === undefined || readUntilMs >= toMs) return;
      const tokens = Math.min(CHUNK_TOKENS, next.remainingTokens);
      next.remainingTokens -= tokens;
      readUntilMs += tokens * READ_MS_PER_TOKEN;
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
