/** Software versions of the servers of a soak, and how one replaces another. */

/** Software versions of the servers. */
export const VERSIONS = ['v1', 'v1.1', 'v2'] as const;
/** Maximum number of software versions. */
export const MAX_VERSIONS = VERSIONS.length;
/** Time for which a leaving server continues to serve, ms: longer than the instances take to learn of it. */
export const LEAVING_MS = 4_000;

/** One step of a rollout. */
export interface VersionChange {
  /** Index of the software version of the new server; undefined for the one after that of the old server. */
  readonly to: number | undefined;
  readonly leaving: Leaving;
}

/** How the old server of a rollout leaves. */
export type Leaving =
  /** It serves for some time while the new one, which has another id, already does. */
  | { readonly kind: 'drains'; readonly drainMs: number }
  /** It ends, and the new one starts under its id. */
  | { readonly kind: 'inPlace' };
