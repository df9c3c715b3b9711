/** Topic of a gossip statement. */
export type GossipTopic = 'callerShares' | 'poisonFingerprints' | 'serverMarks';

/** Gossip statement as stored and sent, including its origin and version. */
export interface GossipEntry {
  readonly topic: GossipTopic;
  /** Subject of the statement, for example a caller id; unique together with topic and origin. */
  readonly key: string;
  /** Instance that made the statement. */
  readonly origin: string;
  /** Increases with each statement of one origin about one key; the highest version is valid. */
  readonly version: number;
  /** Regions that may receive the statement; undefined means all. */
  readonly regions: readonly string[] | undefined;
  /** Time after which all instances remove the statement. */
  readonly expiresAtUnixMs: number;
  /** JSON whose schema is defined and validated by the component that owns the topic; a few hundred bytes at most. */
  readonly payload: string;
}

/** Statement as passed to {@link Gossip.put}, which adds origin and version. */
export type GossipStatement = Omit<GossipEntry, 'origin' | 'version'>;

/** Stores the gossip statements of this instance and of all others. */
export interface Gossip {
  /** Publishes a statement, replacing the previous one of this instance with the same topic and key. */
  put(statement: GossipStatement): void;
  /** Returns all statements on a topic that have not expired. */
  entries(topic: GossipTopic): readonly GossipEntry[];
  /** Calls back for each new statement received from another instance. */
  onEntry(topic: GossipTopic, listener: (entry: GossipEntry) => void): Disposable;
}
