/** What instances tell one another beside their membership. */
export type GossipTopic = 'callerShares' | 'poisonFingerprints' | 'serverMarks';

/** One small statement on its way through the fleet. */
export interface GossipEntry {
  readonly topic: GossipTopic;
  /** What the statement is about, for example a caller id; unique with topic and origin. */
  readonly key: string;
  /** Instance that made the statement. */
  readonly origin: string;
  /** Rises with each statement of one origin about one key; the highest stands. */
  readonly version: number;
  /** Regions that may learn of it; undefined means all. */
  readonly regions: readonly string[] | undefined;
  /** After this everyone forgets it. */
  readonly expiresAtUnixMs: number;
  /** JSON of a shape that the topic's slice owns and checks with its own schema; a few hundred bytes at most. */
  readonly payload: string;
}

/** A statement as its author makes it; origin and version are filled in. */
export type GossipStatement = Omit<GossipEntry, 'origin' | 'version'>;

/** Statements of this instance and of all others. */
export interface GossipBoard {
  /** Makes a statement, replacing this instance's last one on the same topic and key. */
  put(statement: GossipStatement): void;
  /** All statements on a topic that have not expired. */
  entries(topic: GossipTopic): readonly GossipEntry[];
  /** Calls back for each new statement of another instance. */
  onEntry(topic: GossipTopic, listener: (entry: GossipEntry) => void): Disposable;
}
