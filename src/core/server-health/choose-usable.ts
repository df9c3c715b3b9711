import type { RandomSource } from '../random';

/**
 * Keeps the servers that a request may be offered to, those in their slow start only for their share of
 * requests. When all that are usable are in their slow start (a region that has just come back whole) they
 * are all kept, since holding work back from every one of them would only refuse it.
 */
export function chooseUsable<Server>(
  servers: readonly Server[],
  shareOf: (server: Server) => number,
  random: RandomSource,
): readonly Server[] {
  const usable = servers
    .map((server) => ({ server, share: shareOf(server) }))
    .filter(({ share }) => share > 0);
  const offered = usable.filter(({ share }) => share >= 1 || random.next() < share);
  const kept = offered.length > 0 ? offered : usable;
  return kept.map(({ server }) => server);
}

/** Fewest failing servers that make an instance doubt itself. */
const LEAST_DOUBTFUL = 2;

/**
 * Whether this instance should doubt its own checks. Were an instance that has lost its own network to tell
 * that every server it checks is down, its whole region would stop using them on the word of one.
 */
export function doubtsOwnChecks(checkedCount: number, failingCount: number): boolean {
  return failingCount >= LEAST_DOUBTFUL && failingCount * 2 > checkedCount;
}
