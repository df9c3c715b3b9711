/** Kind of request that admission by priority tells apart. */
export interface RequestKind {
  readonly service: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** Latency objective of the request, ms. */
  readonly objectiveMs: number;
}

/** Decides how long a request may wait at a server and still be admitted. */
export interface PriorityAdmission {
  /** Records that a request has arrived which servers of this region may run, and would have to wait there. */
  recordDemand(kind: RequestKind, nowMs: number): void;
  /**
   * Returns the maximum wait of an admitted request, ms: its predicted time to the first byte without the computation
   * of its own prompt. Equals its objective unless more urgent requests of its service wait.
   */
  maxWaitMs(kind: RequestKind, nowMs: number): number;
}
