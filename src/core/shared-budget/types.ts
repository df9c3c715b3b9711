/** Identity and address of an instance that takes part in counting. */
export interface CounterPeer {
  readonly instanceId: string;
  readonly region: string;
  /** Address at which it receives messages. */
  readonly address: string;
}
