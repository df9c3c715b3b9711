/** The properties of an instance that the choice of watchers depends on. */
export interface RelayInstance {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** Address of its listener for calls of other instances. */
  readonly address: string;
}
