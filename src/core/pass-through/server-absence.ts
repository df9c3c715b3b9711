/** Why no server of this region was weighed for a request. */
export type ServerAbsence =
  /** The request may not run in this region. */
  | 'notInThisRegion'
  /** No server of the service, or of the version that its stream is bound to, is announced here. */
  | 'noneAnnounced'
  /** Each server here has had the request, or refused it. */
  | 'allTried'
  /** All connections that this instance may open to the other servers are in use. */
  | 'noConnection'
  /** The other servers are cold and get no more requests at present. */
  | 'cold'
  /** What the other servers state keeps them from being sent a request. */
  | 'restricted'
  /** This instance reaches no server. */
  | 'linksCut';

/** What is known of the servers of a region for one request. */
export interface AbsenceFacts {
  readonly mayServeHere: boolean;
  /** Number of usable servers. */
  readonly usable: number;
  /** Number of usable servers that have not had the request. */
  readonly untried: number;
  /** Number of these to which a connection is free. */
  readonly connectable: number;
  /** Number of these that may get a request although they are cold, or are warm. */
  readonly receiving: number;
}

/** Names the first reason for which no server of this region was left for a request. */
export function nameAbsence(facts: AbsenceFacts): ServerAbsence {
  if (!facts.mayServeHere) return 'notInThisRegion';
  if (facts.usable === 0) return 'noneAnnounced';
  if (facts.untried === 0) return 'allTried';
  if (facts.connectable === 0) return 'noConnection';
  if (facts.receiving === 0) return 'cold';
  return 'restricted';
}
