/** Prefix of a prompt that other requests may share. */
export interface PrefixBlock {
  /** Digest of the prompt from its start to the end of this block. */
  readonly key: string;
  /** Tokens from the start of the prompt to the end of this block. */
  readonly tokens: number;
}

/** Size of a request to an engine, known without parsing it. */
export interface EngineDemand {
  readonly promptTokens: number;
  /** Maximum number of output tokens, as stated by the caller, or the default of the service. */
  readonly maxOutputTokens: number;
  /** Prefixes from the shortest to the longest; empty if none is shared or known. */
  readonly prefixes: readonly PrefixBlock[];
}

/** Estimated work of a request. */
export interface WorkEstimate {
  readonly promptTokens: number;
  /** Maximum number of output tokens; 0 for a plain call. */
  readonly maxOutputTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens plus weighted output tokens, to compare requests; 1 for a plain call. */
  readonly units: number;
  /** Prefixes from the shortest to the longest; empty if none is shared or known. */
  readonly prefixes: readonly PrefixBlock[];
}
