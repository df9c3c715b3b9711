/** Times and bounds of membership, in one place because they rest on one another. */

/**
 * Rest between two exchanges with one partner. With four partners each way an instance takes part in four
 * exchanges a second, which leaves most of its 3 KB/s to what they carry.
 */
export const EXCHANGE_INTERVAL_MS = 2_000;

/** Least time between two exchanges with one partner, when news prompts one before its time. */
export const PROMPTED_GAP_MS = 100;

/** Rest before the second try with a partner that did not answer. */
export const RETRY_AFTER_MS = 300;

/** Tries that must fail in a row before a partner is suspected: one lost connection is no crash. */
export const SUSPECT_AFTER_FAILURES = 2;

/**
 * Time in which a suspect can deny it. News crosses the fleet in well under a second, so this leaves several
 * rounds for the suspicion to reach the instance and for its denial to come back over another way.
 */
export const SUSPICION_MS = 4_000;

/** Longest time for which one instance keeps from suspecting again a member that keeps denying it. */
export const LONGEST_HOLD_OFF_MS = 120_000;

/** A gap between two ticks that is longer than this means that this process itself stood still. */
export const PAUSE_MS = 2_500;

/** A pause after which others will have held this instance for dead; it comes back as a new life. */
export const NEW_LIFE_AFTER_PAUSE_MS = 6_000;

/** Rest between two looks at what has fallen due. */
export const TICK_MS = 500;

/** How long a dead instance stays in the view, so that late statements of others meet the news of its death. */
export const FORGET_DEAD_AFTER_MS = 600_000;

/** How long the life of a forgotten instance is remembered, so that nothing stale brings it back. */
export const REMEMBER_FORGOTTEN_MS = 86_400_000;

/** Rest between two tries to reach someone outside the view: seeds, the dead. */
export const EXPLORE_INTERVAL_MS = 5_000;

/**
 * The same while nobody is known, in the first seconds of a process: instances that start together again find one
 * another within a round trip of the last one's start. Until then callers whose requests belong to another region are
 * refused.
 */
export const ALONE_RETRY_MS = 150;
/** Time for which such quick tries go on; whoever is not there by then is not about to start, ms. */
export const ALONE_QUICK_FOR_MS = 5_000;

/** Load is restated more rarely the more members a region has, so that its bytes do not grow with them. */
export const LOAD_INTERVAL_PER_MEMBER_MS = 100;
export const SHORTEST_LOAD_INTERVAL_MS = 1_000;

/** Bytes that an instance may send for the view each second, and the most that it may save up. */
export const SEND_BYTES_PER_SECOND = 1_500;
export const SEND_BURST_BYTES = 262_144;

/** Shares of one message. */
export const MEMBER_BYTES_PER_MESSAGE = 32_768;
export const LOAD_BYTES_PER_MESSAGE = 900;
export const STATEMENT_BYTES_PER_MESSAGE = 1_200;
