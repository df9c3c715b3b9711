import type { RandomSource } from '../random';

/**
 * Returns the servers that a request may be sent to. Servers in their slow start are included only for their share
 * of requests. When all usable servers are in their slow start (for example in a region that has just recovered) and
 * none would be included, all of them are returned, since leaving out every one would only refuse the request.
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
 * Returns whether an instance may report to its peers that a server is down. An instance that has lost its own
 * network would otherwise report every server that it checks, and its whole region would stop using healthy servers.
 * So it waits until a check of another server has succeeded since the failure, which shows that its own network
 * works. An instance that checks only one server can have no such proof and reports at once.
 */
export function mayReportDown(
  failedAtMs: number,
  lastGoodCheckAtMs: number | undefined,
  checkedCount: number,
): boolean {
  if (checkedCount <= 1) return true;
  return lastGoodCheckAtMs !== undefined && lastGoodCheckAtMs >= failedAtMs;
}
