/** Kind of a request: requests with the same service, priority and objective are treated alike. */
export interface RequestKind {
  readonly service: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** Latency objective of the request, ms. */
  readonly objectiveMs: number;
}

/** Decides how long a request may wait at a server and still be admitted. */
export interface PriorityAdmission {
  /** Records the arrival of a request that may run in this region, but would have to wait for a server. */
  recordDemand(kind: RequestKind, nowMs: number): void;
  /**
   * Returns the maximum wait of an admitted request, ms: its predicted time to the first byte without the computation
   * of its own prompt. Equals its objective unless more urgent requests of its service have to wait.
   */
  maxWaitMs(kind: RequestKind, nowMs: number): number;
}
