import { rankFor } from '../rendezvous';

/**
 * How many instances of a region check each server: two, so that one that is itself cut off or just being
 * replaced leaves no server unwatched. Every instance checking every server would cost servers times
 * instances, nearly a million checks a second at the size that is planned for.
 */
export const CHECKERS_PER_SERVER = 2;

/** Whether `selfId` is among the instances that do a duty, given the live instances of its region. */
export function isOnDuty(
  duty: string,
  selfId: string,
  liveIds: readonly string[],
  count: number = CHECKERS_PER_SERVER,
): boolean {
  const candidates = liveIds.includes(selfId) ? liveIds : [...liveIds, selfId];
  return rankFor(duty, candidates).slice(0, count).includes(selfId);
}
