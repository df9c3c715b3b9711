/** What an instance asks of another about the configuration. */
export interface ConfigurationRequest {
  /** Version in force at the asker, 0 for none. */
  readonly haveVersion: number;
  /** Documents wanted; empty asks for the root and for what changed since `haveVersion`. */
  readonly wantedHashes: readonly string[];
}

/** What an instance answers. */
export interface ConfigurationAnswer {
  /** Version in force there, 0 for none. */
  readonly version: number;
  /** Whether an instance that was there before vouched for it. */
  readonly isConfirmed: boolean;
  /** Empty when the asker can make it from its own root and the documents, which are the changes since. */
  readonly rootText: string;
  /** SHA-256 of the root, hex. */
  readonly rootDigest: string;
  readonly documents: ReadonlyMap<string, string>;
}

/** Asks another instance; rejects when it can't be reached. */
export type AskPeer = (
  peerAddress: string,
  request: ConfigurationRequest,
) => Promise<ConfigurationAnswer>;

/** A root as the configuration service has it. */
export interface ServiceValue {
  /** Where the service's own count of changes stands. */
  readonly index: string;
  readonly rootText: string;
}

/** The platform's configuration service; every call counts as a read there, a waiting watch too. */
export interface ConfigurationService {
  /** Resolves when the root has changed since `index`, or after half a minute as it stands. */
  watch(index: string, signal: AbortSignal): Promise<ServiceValue>;
  /** The root as it stands. */
  readRoot(signal: AbortSignal): Promise<ServiceValue>;
  /** A document by its hash. */
  readDocument(hash: string, signal: AbortSignal): Promise<string>;
}
