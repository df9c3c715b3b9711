/** An instance as the choice of watchers sees it. */
export interface RelayInstance {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** Where it answers calls of other instances. */
  readonly address: string;
}
