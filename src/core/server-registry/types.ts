/** One backend server as it announces itself. */
export interface ServerAnnouncement {
  /** Names the server. Another start usually has another id; one that has the same tells by `startedAtUnixMs`. */
  readonly serverId: string;
  /** When it started by its own clock, Unix ms; undefined where it does not say. Tells starts under one id apart. */
  readonly startedAtUnixMs: number | undefined;
  readonly service: string;
  /** `HOST:PORT`; used again by another server some time after this one has gone. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it processes at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which it is still cold, as of the announcement, ms. */
  readonly coldForMs: number;
  /** Time until it is gone whatever it runs, where it was told so at short notice, ms. */
  readonly goneInMs: number | undefined;
}

/** One backend server as this instance holds it. */
export interface KnownServer {
  readonly serverId: string;
  /** Names one start of the server. Whatever is learned of a server is kept under this name, and ends with it. */
  readonly incarnationId: string;
  readonly startedAtUnixMs: number | undefined;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Monotonic time until which the server bears few requests only. */
  readonly coldUntilMs: number;
}
