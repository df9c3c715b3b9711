/** A stretch at the start of a prompt that other requests may share. */
export interface PrefixBlock {
  /** Digest of the prompt from its start to the end of this block. */
  readonly key: string;
  /** Tokens from the start of the prompt to the end of this block. */
  readonly tokens: number;
}

/** What can be told of a request to an engine without parsing it. */
export interface EngineDemand {
  readonly promptTokens: number;
  /** Most output that the caller states, or that the service assumes. */
  readonly maxOutputTokens: number;
  /** From the shortest to the longest; empty where nothing is shared or known. */
  readonly prefixes: readonly PrefixBlock[];
}

/** How much work a request probably is. */
export interface WorkEstimate {
  readonly promptTokens: number;
  /** Most output that was stated; 0 for a plain call. */
  readonly maxOutputTokens: number;
  readonly outputTokens: number;
  /** One number to compare requests by: prompt tokens and weighted output tokens; 1 for a plain call. */
  readonly units: number;
  /** From the shortest to the longest; empty where nothing is shared or known. */
  readonly prefixes: readonly PrefixBlock[];
}
