/** What one instance has under way at one server. */
export interface ServerShare {
  /** Names one start of the server. */
  readonly incarnationId: string;
  /** Requests that it has sent there and that are not over. */
  readonly inFlight: number;
  /** Prompt tokens that it has sent there and that have not brought a first byte. */
  readonly pendingTokens: number;
}

/** Parts of prompts that one server has read for one instance. */
export interface ReadParts {
  readonly incarnationId: string;
  readonly partIds: readonly string[];
}

/** What one instance tells the others of its region. */
export interface LoadStatement {
  readonly from: string;
  /** All that it has under way; servers that are not named have nothing of it. */
  readonly servers: readonly ServerShare[];
  /** What was read since its statement before. */
  readonly read: readonly ReadParts[];
}
