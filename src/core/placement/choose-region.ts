/** A region other than this instance's own that may serve a request. */
export interface RegionOption {
  readonly region: string;
  /** Open requests per slot of its servers; above 1 if requests are queued. */
  readonly utilization: number;
  /** Free slots of its servers; 0 if it has none. */
  readonly room: number;
}

/** Input of the choice by room. */
export interface RoomInput {
  /** Part of the predicted time in this region that the request's own prompt takes, ms. */
  readonly ownPrefillMs: number;
  /** Time of the trip to another region and back, ms. */
  readonly roundTripMs: number;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** Input of the choice between regions. */
export interface RegionInput {
  /** Predicted time to the first byte in this region, ms; undefined if it has no usable server. */
  readonly localFirstByteMs: number | undefined;
  /** Latency objective of the request, ms. */
  readonly objectiveMs: number;
  /** Whether the request would wait longer here than its priority allows, so that it is not admitted here. */
  readonly isOverMaxWait: boolean;
  readonly others: readonly RegionOption[];
  /** Undefined for the choice of the least utilized region. */
  readonly byRoom?: RoomInput | undefined;
}

/** Region that a request is sent to. */
export type RegionChoice =
  | { readonly kind: 'local' }
  | { readonly kind: 'remote'; readonly region: string }
  | { readonly kind: 'nowhere' };

/**
 * Utilization from which another region gets no requests while this region has a usable server: the known value is a
 * second old, and the callers of the other region come first.
 */
const MAX_SPILLOVER_UTILIZATION = 0.75;

/**
 * Predicted time to the first byte in this region above which another region is tried, as a share of the objective.
 * With a lower share, small variations would send requests over the long link; with a higher one, the objective would
 * be missed before they leave.
 */
const MAX_LOCAL_OBJECTIVE_SHARE = 0.6;

/** Utilization from which another region is not used even if no server of this region is usable. */
const MAX_UTILIZATION_WITHOUT_LOCAL_SERVER = 1.5;

/**
 * Minimum wait in this region before a request leaves it, in round trips. Leaving saves the wait and costs a round
 * trip, so from 2 on it saves at least what it costs.
 */
const MIN_WAIT_ROUND_TRIPS = 2;
/** Minimum wait as a share of the objective; a request with an objective of many seconds need not leave at once. */
const MIN_WAIT_OBJECTIVE_SHARE = 0.15;
/** Round trip as a share of the objective up to which the request leaves as early as possible. */
const TOLERANT_TRIP_SHARE = 0.1;
/** Round trip as a share of the objective from which the request leaves as late as possible. */
const TIGHT_TRIP_SHARE = 0.2;
/**
 * Predicted time in this region above which any request leaves, as a share of the objective: predictions are wrong by
 * up to a quarter, and such a request would often be late here.
 */
const MAX_TIGHT_OBJECTIVE_SHARE = 0.75;

function leastUtilized(options: readonly RegionOption[]): RegionOption | undefined {
  return [...options].sort((left, right) => left.utilization - right.utilization)[0];
}

/** Draws a region with a probability in proportion to its room; the least utilized one if none has room. */
function drawByRoom(
  options: readonly RegionOption[],
  draw: () => number,
): RegionOption | undefined {
  const withRoom = options.filter(({ room }) => room > 0);
  if (withRoom.length === 0) return leastUtilized(options);
  const total = withRoom.reduce((sum, { room }) => sum + room, 0);
  let remaining = draw() * total;
  for (const option of withRoom) {
    remaining -= option.room;
    if (remaining < 0) return option;
  }
  return withRoom.at(-1);
}

/**
 * Returns the predicted time to the first byte in this region above which a request leaves it, ms. Requests that lose a
 * small share of their objective by the trip leave first; those with tight objectives stay until they would be late.
 */
function maxLocalMs(objectiveMs: number, { ownPrefillMs, roundTripMs }: RoomInput): number {
  const minWaitMs = Math.max(
    MIN_WAIT_ROUND_TRIPS * roundTripMs,
    MIN_WAIT_OBJECTIVE_SHARE * objectiveMs,
  );
  const latestMs = MAX_TIGHT_OBJECTIVE_SHARE * objectiveMs;
  const earliestMs = Math.min(latestMs, ownPrefillMs + minWaitMs);
  const tightness =
    (roundTripMs / objectiveMs - TOLERANT_TRIP_SHARE) / (TIGHT_TRIP_SHARE - TOLERANT_TRIP_SHARE);
  const share = Math.min(1, Math.max(0, tightness));
  // A request that is late only because of its own prompt saves nothing by the trip.
  return Math.max(earliestMs + share * (latestMs - earliestMs), ownPrefillMs + roundTripMs);
}

/** Returns whether a request should leave this region if another one has capacity. */
function leaves(localFirstByteMs: number, { objectiveMs, byRoom }: RegionInput): boolean {
  if (byRoom === undefined) return localFirstByteMs > objectiveMs * MAX_LOCAL_OBJECTIVE_SHARE;
  const isInTimeAfterTrip = byRoom.ownPrefillMs + byRoom.roundTripMs <= objectiveMs;
  return isInTimeAfterTrip && localFirstByteMs > maxLocalMs(objectiveMs, byRoom);
}

/**
 * Chooses between this region and others.
 *
 * Load peaks move from region to region: a small region may not be able to serve its own callers while others are
 * idle. Without spillover, its callers would wait or be refused although servers elsewhere are free. If spillover
 * began too early, the requests of a short burst would cross the long link, have their prompts computed again there,
 * and occupy slots that the other region's callers need.
 *
 * A less urgent request whose wait is over the bound of its priority leaves even if it would be in time here: it would
 * be refused, although a region with room could serve it.
 *
 * Reports of other regions are a second old. If all instances chose the least utilized region, they would fill it
 * within that time while the others stay idle; a draw in proportion to room divides their requests over all.
 */
export function chooseRegion(input: RegionInput): RegionChoice {
  const { localFirstByteMs, isOverMaxWait, others, byRoom } = input;
  const below = (maxUtilization: number): RegionOption | undefined => {
    const options = others.filter((option) => option.utilization < maxUtilization);
    return byRoom === undefined ? leastUtilized(options) : drawByRoom(options, byRoom.draw);
  };
  if (localFirstByteMs === undefined) {
    const region = below(MAX_UTILIZATION_WITHOUT_LOCAL_SERVER)?.region;
    return region === undefined ? { kind: 'nowhere' } : { kind: 'remote', region };
  }
  if (!isOverMaxWait && !leaves(localFirstByteMs, input)) return { kind: 'local' };
  const region = below(MAX_SPILLOVER_UTILIZATION)?.region;
  return region === undefined ? { kind: 'local' } : { kind: 'remote', region };
}
