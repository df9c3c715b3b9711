/** One part of a prompt that other requests may share. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** What a request asks of a model, as far as its headers tell. */
export interface ModelDemand {
  /** Parts in order; the last one belongs to the request itself. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
}

/** A server's own report of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** One server that a request could be sent to, with what is known of it now. */
export interface Candidate {
  readonly incarnationId: string;
  readonly slots: number;
  /** Requests running and waiting there, of all instances together, as estimated. */
  readonly load: number;
  /** Prompt tokens sent from here that have not brought a first event yet. */
  readonly pendingTokens: number;
  /** Prompt tokens of this request that are not in its cache, as estimated. */
  readonly uncachedTokens: number;
  /** Tokens of those that it can copy from the cache of a neighbour, as estimated. */
  readonly copyableTokens: number;
  /** Time by which silence and slowness there will probably delay a first byte, ms. */
  readonly delayMs: number;
  /** Time that failures there would cost on average, ms; they make a server worse, not slower. */
  readonly failureCostMs: number;
}

/** How fast the servers of a service are, as measured here. */
export interface ServicePace {
  /** Time for one prompt token that is not cached, ms. */
  readonly prefillMsPerToken: number;
  /** Time for which a request holds its slot, ms. */
  readonly slotTimeMs: number;
  /** Time to copy one prompt token from another cache, ms; undefined where servers cannot. */
  readonly copyMsPerToken?: number | undefined;
}
