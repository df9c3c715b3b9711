/** One part of a prompt that other requests may share. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** Work that a request requires of a model, according to its headers. */
export interface ModelDemand {
  /** Parts in order; the last one is specific to the request. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum number of tokens of the answer; undefined if the request does not state it. */
  readonly maxOutputTokens?: number | undefined;
}

/** A server's own report of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How much longer than usual the server's work takes at this moment, as a factor; undefined if not stated. */
  readonly slowdown?: number | undefined;
}

/** A server that a request could be sent to, with its current state. */
export interface Candidate {
  readonly incarnationId: string;
  readonly slots: number;
  /** Requests of the usual size at the server that fit into its memory; undefined if unknown. */
  readonly memorySlots?: number | undefined;
  /** Estimated number of running and waiting requests of all instances. */
  readonly load: number;
  /** Prompt tokens of requests at the server that still wait for their first byte. */
  readonly pendingTokens: number;
  /** Estimated prompt tokens of this request that are not in the server's cache. */
  readonly uncachedTokens: number;
  /** Estimated uncached tokens that the server can copy from the cache of a neighbour. */
  readonly copyableTokens: number;
  /** Delay of a first byte that is expected from recent silence and lateness of the server, ms. */
  readonly delayMs: number;
  /** Factor of the time that the server takes for its work; 1 is the usual speed of the service. */
  readonly speedFactor: number;
  /** Expected time lost to failures of the server, ms; affects the choice, but not the predicted time. */
  readonly failureCostMs: number;
}

/** Speed of the servers of a service, as measured by this instance. */
export interface ServiceSpeed {
  /** Time to compute one uncached prompt token, ms. */
  readonly prefillMsPerToken: number;
  /** Time for which a request occupies its slot, ms. */
  readonly slotTimeMs: number;
  /** Time to copy one prompt token from another cache, ms; undefined if servers cannot copy. */
  readonly copyMsPerToken?: number | undefined;
}
