import type { SuspicionStanding } from '../placement';

/** What decides whether a request may be sent to servers under suspicion. */
export interface SuspectRules<Server> {
  readonly standingOf: (server: Server) => SuspicionStanding;
  /** Whether the request can be sent to another server if this one does not answer it. */
  readonly mayBeSentAgain: boolean;
}

/**
 * Returns the servers that may get a request as far as suspicions are concerned. One on trial may cost its caller the
 * answer, so it gets a request that can be sent again, or any if no other server is left.
 */
export function withoutSuspects<Server>(
  servers: readonly Server[],
  { standingOf, mayBeSentAgain }: SuspectRules<Server>,
): readonly Server[] {
  const mayTry = (standing: SuspicionStanding): boolean =>
    standing === 'sound' || standing === 'overdue' || (standing === 'onTrial' && mayBeSentAgain);
  const standings = servers.map((server) => ({ server, standing: standingOf(server) }));
  const usable = standings.filter(({ standing }) => mayTry(standing));
  const rest = standings.filter(({ standing }) => standing === 'onTrial');
  return (usable.length > 0 ? usable : rest).map(({ server }) => server);
}
