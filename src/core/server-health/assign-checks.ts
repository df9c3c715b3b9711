import { rankCandidates } from '../rendezvous';

/**
 * Number of instances of a region that check each server: two, so that no server goes unchecked while one of them is
 * cut off or being replaced. If every instance checked every server, the number of checks would be servers times
 * instances, nearly a million a second at the planned size.
 */
export const CHECKERS_PER_SERVER = 2;

/**
 * Returns whether `selfId` is among the `count` instances that perform a duty, for example the checks of one server,
 * given the live instances of its region.
 */
export function isOnDuty(
  duty: string,
  selfId: string,
  liveIds: readonly string[],
  count: number = CHECKERS_PER_SERVER,
): boolean {
  const candidates = liveIds.includes(selfId) ? liveIds : [...liveIds, selfId];
  return rankCandidates(duty, candidates).slice(0, count).includes(selfId);
}
