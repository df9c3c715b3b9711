/** Open requests of one instance at one server. */
export interface InstanceServerLoad {
  /** Identifies one start of the server. */
  readonly incarnationId: string;
  /** Open requests that the instance has sent to the server. */
  readonly inFlight: number;
  /** Prompt tokens of those requests that wait for their first byte. */
  readonly pendingTokens: number;
}

/** Prompt parts that one server has cached for requests of one instance. */
export interface CachedParts {
  readonly incarnationId: string;
  readonly partIds: readonly string[];
}

/** Load of one instance, sent to the other instances of its region. */
export interface LoadUpdate {
  /** ID of the sending instance. */
  readonly from: string;
  /** All its open requests; it has none at servers that are not listed. */
  readonly servers: readonly InstanceServerLoad[];
  /** Prompt parts cached since its previous update. */
  readonly cachedParts: readonly CachedParts[];
}
