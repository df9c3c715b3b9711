/** Announcement of one backend server about itself. */
export interface ServerAnnouncement {
  /** Id of the server. A restart usually changes it; restarts under the same id are told apart by `startedAtUnixMs`. */
  readonly serverId: string;
  /** Start time by the server's own clock, Unix ms; undefined if not stated. Distinguishes starts under the same id. */
  readonly startedAtUnixMs: number | undefined;
  readonly service: string;
  /** Version of its software, as announced: any text. Versions have no order. */
  readonly softwareVersion: string;
  /** `HOST:PORT`; may be reused by another server some time after this one is gone. */
  readonly address: string;
  readonly failureDomain: string;
  /** Maximum number of requests that it processes concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the server remains cold, as of the announcement, ms. */
  readonly coldForMs: number;
  /** Time until the server is stopped regardless of running work, ms; only stated after a notice shortly before. */
  readonly goneInMs: number | undefined;
}

/** State of one backend server as known to this instance. */
export interface KnownServer {
  readonly serverId: string;
  /** Identifies one start of the server. Everything learned about a server is stored under this id and ends with it. */
  readonly incarnationId: string;
  readonly startedAtUnixMs: number | undefined;
  readonly service: string;
  /** Name of the version of its software: visible ASCII, of bounded length. */
  readonly softwareVersion: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Monotonic time until which the server can handle only few requests. */
  readonly coldUntilMs: number;
}
