/** One crash of a server while a request was open there. */
export interface CrashMark {
  /** Names the try; every instance that learns of one crash by one try uses the same. */
  readonly tryId: string;
  readonly serverId: string;
  readonly atUnixMs: number;
}

/** How a request stands, by the crashes that happened while it ran. */
export type PoisonVerdict =
  | { readonly kind: 'unknown' }
  /** May run, best where no other suspect runs, so that a further crash has one suspect only. */
  | { readonly kind: 'suspect'; readonly crashes: number; readonly serverIds: readonly string[] }
  | { readonly kind: 'refused'; readonly crashes: number; readonly untilUnixMs: number };
