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

/**
 * Whether an instance may tell its peers that a server is down. Were one that has lost its own network to tell
 * it of every server that it checks, its whole region would stop using healthy servers on the word of one. So
 * it waits until a check of another server has come out well since the failure, which shows that its own
 * network works. An instance that checks one server alone can have no such proof, and tells.
 */
export function mayTellDown(
  failedAtMs: number,
  lastGoodCheckAtMs: number | undefined,
  checkedCount: number,
): boolean {
  if (checkedCount <= 1) return true;
  return lastGoodCheckAtMs !== undefined && lastGoodCheckAtMs >= failedAtMs;
}
