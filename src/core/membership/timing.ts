/** Intervals, timeouts and limits of membership, in one place because they depend on one another. */

/**
 * Interval between exchanges with one partner, ms. With four partners in each direction, an instance takes part in four
 * exchanges a second, which leaves most of its 3 KB/s for their content.
 */
export const EXCHANGE_INTERVAL_MS = 2_000;

/** Minimum time between two exchanges with one partner when an update triggers one early, ms. */
export const MIN_EXCHANGE_GAP_MS = 100;

/** Delay before the first retry with a partner that did not reply, ms. */
export const RETRY_DELAY_MS = 300;

/** Number of consecutive failed exchanges after which a partner is suspected; a single one may be a lost connection. */
export const SUSPECT_AFTER_FAILURES = 2;

/**
 * Time that a suspected member has to refute the suspicion, ms. Updates cross the fleet in well under a second, so this
 * leaves several rounds for the suspicion to reach the member and for its refutation to come back over another path.
 */
export const SUSPICION_TIMEOUT_MS = 4_000;

/** Maximum backoff before an instance again suspects a member that keeps refuting the suspicion, ms. */
export const MAX_SUSPICION_BACKOFF_MS = 120_000;

/** A gap between two ticks that exceeds this means that this process itself was paused, ms. */
export const PAUSE_THRESHOLD_MS = 2_500;

/** Pause after which others have declared this instance dead, so that it returns as a new life, ms. */
export const NEW_LIFE_PAUSE_THRESHOLD_MS = 6_000;

/** Interval at which timeouts of members are checked, ms. */
export const TICK_INTERVAL_MS = 500;

/** Time for which a dead member stays in the view, so that peers with outdated records learn that it is dead, ms. */
export const DEAD_MEMBER_RETENTION_MS = 600_000;

/** Time for which the life of a forgotten member is remembered, so that no stale record brings it back, ms. */
export const FORGOTTEN_LIFE_RETENTION_MS = 86_400_000;

/** Interval between attempts to reach seeds, dead members and members of other regions, ms. */
export const EXPLORE_INTERVAL_MS = 5_000;

/**
 * Interval between such attempts in the first seconds of a process that knows no other instance, ms. It lets instances
 * that restart together find one another within a round trip after the last of them has started. Until then, requests
 * of callers that belong to another region are refused.
 */
export const ALONE_RETRY_INTERVAL_MS = 150;
/** Time for which these quick retries go on, ms; an instance that is not up by then is not expected to start soon. */
export const ALONE_RETRY_DURATION_MS = 5_000;

/**
 * The interval between load statements grows by this much per member of the region, ms, so that the traffic for load
 * does not grow with the number of members.
 */
export const LOAD_INTERVAL_PER_MEMBER_MS = 100;
/** Minimum interval between load statements, ms. */
export const MIN_LOAD_INTERVAL_MS = 1_000;

/** Bytes per second that an instance may send for membership, and the maximum of unused bytes that it may save up. */
export const SEND_BYTES_PER_SECOND = 1_500;
export const SEND_BURST_BYTES = 262_144;

/** Maximum bytes of each kind of content in one message. */
export const MAX_MEMBER_BYTES_PER_MESSAGE = 32_768;
export const MAX_LOAD_BYTES_PER_MESSAGE = 900;
export const MAX_STATEMENT_BYTES_PER_MESSAGE = 1_200;
