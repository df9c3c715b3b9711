/** Counts the backend servers that one request may still be sent to, at whichever instances. */
export interface AttemptAccount {
  /** Servers that it has been sent to, or may have been. */
  used(): number;
  /** Whether it may be sent to one more after what is under way. */
  hasLeft(): boolean;
  /** Takes one attempt for a server of this region, and returns that number. */
  take(): number;
  /** Takes the attempts that an instance of another region may make for the request, and returns how many. */
  lend(): number;
  /**
   * Settles what was taken last: `used` servers got the request. Undefined where nobody can tell, which counts all that
   * was taken as used.
   */
  settle(used: number | undefined): void;
}

/**
 * An account of `mostAttempts`, of which none is used.
 *
 * A request may be handed to another region, where an instance tries servers of its own. Counted here as one attempt,
 * it reached as many servers there as its route allows, and then as many again here; one notices two instances that
 * both count up under one id. So attempts are lent: what was lent is gone until the other instance says how many it
 * has made, and stays gone where it falls silent, since it may go on with the request unseen.
 *
 * Of a request that may run again one attempt is kept back, so that the loss of the other region does not end it.
 */
export function createAttemptAccount(mostAttempts: number, mayRepeat: boolean): AttemptAccount {
  let settled = 0;
  let outstanding = 0;
  const left = () => mostAttempts - settled - outstanding;
  return {
    used: () => settled + outstanding,
    hasLeft: () => left() > 0,
    take() {
      outstanding = 1;
      return outstanding;
    },
    lend() {
      const keepBack = mayRepeat && left() > 1 ? 1 : 0;
      outstanding = Math.max(1, left() - keepBack);
      return outstanding;
    },
    settle(used) {
      settled += used ?? outstanding;
      outstanding = 0;
    },
  };
}
