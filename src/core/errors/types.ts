/** One kind of failure, as it stands in the catalogue. */
export interface ErrorDefinition<Args extends readonly unknown[] = readonly never[]> {
  /** Stable name, used in logs and tests. */
  readonly name: string;
  /** A few words for a heading. */
  readonly title: string;
  /** Says what happened, from the facts of the case. */
  readonly message: (...args: Args) => string;
  /** Tells the reader what to do about it. */
  readonly hint: string;
}

/** Where a failure arose. */
export interface ErrorPlace {
  /** The step of the work, for example `load-settings` or `send-to-server`. */
  readonly step: string;
  /** The other side, where there is one: an instance, a backend server or a platform service. */
  readonly peer?: string;
}
