/** How much an event matters to whoever is on call. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug';

/** One kind of log line. */
export interface EventDefinition {
  /** Stable number; a slice owns a block of a hundred. */
  readonly id: number;
  readonly name: string;
  readonly level: EventLevel;
  /** What happened, in a sentence that is the same each time; the facts are in the fields. */
  readonly text: string;
  /** What an operator does about it. */
  readonly action: string;
}

/** Facts of one event. Never bodies, prompts or keys. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | null | undefined>
>;

/** Writes events. It is handed in, with its labels, to whatever logs. */
export interface Logger {
  event(definition: EventDefinition, fields?: EventFields): void;
  /** A logger that adds `labels` to each line. */
  with(labels: EventFields): Logger;
}
