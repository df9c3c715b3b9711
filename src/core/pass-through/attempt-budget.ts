/** Attempts that are reserved for one destination. */
export interface AttemptReservation {
  /** Maximum number of backend servers that may get the request in this attempt. */
  readonly count: number;
  /**
   * Settles the reservation: `used` servers got the request. Undefined if the number is unknown; the
   * whole reservation then counts as used. Only the first call has an effect.
   */
  settle(used: number | undefined): void;
}

/**
 * Limits the number of backend servers that one request may be sent to, across all instances that
 * serve it.
 */
export interface AttemptBudget {
  /** Number of servers that the request has been sent to, or may have been. */
  used(): number;
  /** Whether the request may be sent to one more server besides the attempts in progress. */
  hasRemaining(): boolean;
  /** Reserves one attempt for a server of this region. */
  reserveOne(): AttemptReservation;
  /** Reserves the attempts that an instance of another region may make for the request. */
  reserveForPeer(): AttemptReservation;
}

/**
 * Creates a budget of `maxAttempts` attempts.
 *
 * A request may be forwarded to another region, where an instance tries servers of its own. If that
 * counted as one attempt here, the request could reach as many servers there as its route allows,
 * and then as many again here. The symptom is that both instances count up attempts under the same
 * request id. So attempts are reserved for the other instance: they are unavailable here until it
 * reports how many it has made, and count as used if it stops responding, since it may continue
 * with the request unnoticed.
 *
 * For a request that may run again, one attempt is withheld, so that the loss of the other region
 * does not end the request.
 */
export function createAttemptBudget(maxAttempts: number, mayRepeat: boolean): AttemptBudget {
  let settled = 0;
  let reserved = 0;
  const remaining = () => maxAttempts - settled - reserved;

  const reserve = (count: number): AttemptReservation => {
    let isSettled = false;
    reserved += count;
    return {
      count,
      settle(used) {
        if (isSettled) return;
        isSettled = true;
        reserved -= count;
        settled += used ?? count;
      },
    };
  };

  return {
    used: () => settled + reserved,
    hasRemaining: () => remaining() > 0,
    reserveOne: () => reserve(1),
    reserveForPeer() {
      const withheld = mayRepeat && remaining() > 1 ? 1 : 0;
      return reserve(Math.max(1, remaining() - withheld));
    },
  };
}
