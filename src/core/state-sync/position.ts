import { z } from 'zod';

/**
 * A place in the history of what is published.
 *
 * The source may come back from an older copy. Its revisions go back then and are given out again for other changes, so a
 * revision means something only within one era: compared across two, news looks old and is passed over for good.
 */
export interface Position {
  /** Rises by one each time the source comes back from an older copy. */
  readonly era: number;
  readonly revision: number;
}

/** A position as instances hand it to one another. */
export const positionSchema = z.object({ era: z.number(), revision: z.number() });

/** Whether a position comes after another one. */
export function isLater(position: Position, than: Position): boolean {
  if (position.era !== than.era) return position.era > than.era;
  return position.revision > than.revision;
}
