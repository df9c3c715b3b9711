/** Identifies a stream by the request whose answer began it. */
export interface StreamIdentity {
  readonly route: string;
  /** Name of the client account; undefined if the request has none. */
  readonly account: string | undefined;
  readonly requestId: string;
}

/** A stream that has begun, and the server software that began it. */
export interface BegunStream {
  readonly identity: StreamIdentity;
  readonly service: string;
  readonly softwareVersion: string;
  /** Time at which its caller gives up, monotonic ms; it cannot be taken up afterwards. */
  readonly deadlineAtMs: number;
}

/** What is known of a stream that a caller takes up. */
export type FoundVersion =
  | {
      readonly kind: 'known';
      readonly service: string;
      readonly softwareVersion: string;
      /** Where the version was known: at this instance, or only at another one. */
      readonly source: 'here' | 'asked';
      /** Time since the stream began, ms. */
      readonly ageMs: number;
    }
  /** It is known that servers of one version alone have served lately, so that no other can have begun the stream. */
  | { readonly kind: 'onlyVersion'; readonly softwareVersion: string }
  /** `mayBeKnownLater` if an instance, or the published state, may still tell which version it is. */
  | { readonly kind: 'unknown'; readonly mayBeKnownLater: boolean };

/** An instance that can hold the versions of streams for others. */
export interface VersionHolder {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Address for statements, `HOST:PORT`. */
  readonly address: string;
  /** When its process started, by its own clock, Unix ms; undefined if it does not state it. */
  readonly startedAtUnixMs?: number | undefined;
}
