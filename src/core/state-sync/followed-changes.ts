import type { Position } from './position';

/** For which time an instance knows all published changes. */
export interface FollowedChanges {
  /**
   * Monotonic time since which all changes are known, although perhaps late; -Infinity if all there ever were are known,
   * undefined before the first read.
   */
  readonly allKnownSinceMs: number | undefined;
  /** Where the knowledge of all changes begins: the position of the last complete read; undefined before it. */
  readonly knownFrom: Position | undefined;
  /** Up to where all changes are known; undefined before the first read. */
  readonly knownUpTo: Position | undefined;
  /** Whether the source has answered lately, so that changes up to now are known. */
  readonly isCurrent: boolean;
  /** Whether the source is still being asked for the changes before the first read. */
  readonly isPastPending: boolean;
}
