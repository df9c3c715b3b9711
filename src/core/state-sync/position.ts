import { z } from 'zod';

/**
 * A point in the history of published state.
 *
 * The source may be restored from an older backup. Its revision counter then goes back, and the same revisions are
 * assigned again to other changes. Revisions are therefore only comparable within one era: compared across eras, new
 * changes would look old and would be skipped for good.
 */
export interface Position {
  /** Increases by one each time the source is restored from an older backup. */
  readonly era: number;
  readonly revision: number;
}

/** Schema of a position in messages between instances. */
export const positionSchema = z.object({ era: z.number(), revision: z.number() });

/** Returns whether a position comes after another one. */
export function isLater(position: Position, other: Position): boolean {
  if (position.era !== other.era) return position.era > other.era;
  return position.revision > other.revision;
}
