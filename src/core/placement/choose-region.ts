/** A region other than this instance's own that may serve a request. */
export interface RegionOption {
  readonly region: string;
  /** Open requests per slot of its servers; above 1 if requests are queued. */
  readonly utilization: number;
  /** Free slots of its servers; 0 if it has none. */
  readonly room: number;
}

/** Input of the choice between regions. */
export interface RegionInput {
  /** Predicted time to the first byte in this region, ms; undefined if it has no usable server. */
  readonly localFirstByteMs: number | undefined;
  /** Latency objective of the request, ms. */
  readonly objectiveMs: number;
  /** Whether the request is not admitted here: its wait is too long for its priority, or its account is over its share. */
  readonly isOverMaxWait: boolean;
  readonly others: readonly RegionOption[];
  /**
   * Returns a random number from 0 (inclusive) to 1 (exclusive), with which a region is drawn by room. If undefined, the
   * least utilized region is chosen.
   */
  readonly draw?: (() => number) | undefined;
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
 * Chooses between this region and others.
 *
 * Load peaks move from region to region: a small region may not be able to serve its own callers while others are
 * idle. Without spillover, its callers would wait or be refused although servers elsewhere are free. If spillover
 * began too early, the requests of a short burst would cross the long link, have their prompts computed again there,
 * and occupy slots that the other region's callers need.
 *
 * A request that is not admitted here because of its priority or its account is sent to another region even if it would
 * be in time here. It would otherwise be refused, although a region with room could serve it.
 *
 * Reports of other regions are a second old. If all instances chose the least utilized region, they would fill it
 * within that time while the others stay idle; a draw in proportion to room divides their requests over all.
 */
export function chooseRegion(input: RegionInput): RegionChoice {
  const { localFirstByteMs, objectiveMs, isOverMaxWait, others, draw } = input;
  const below = (maxUtilization: number): RegionOption | undefined => {
    const options = others.filter((option) => option.utilization < maxUtilization);
    return draw === undefined ? leastUtilized(options) : drawByRoom(options, draw);
  };
  if (localFirstByteMs === undefined) {
    const region = below(MAX_UTILIZATION_WITHOUT_LOCAL_SERVER)?.region;
    return region === undefined ? { kind: 'nowhere' } : { kind: 'remote', region };
  }
  const isInTimeHere = localFirstByteMs <= objectiveMs * MAX_LOCAL_OBJECTIVE_SHARE;
  if (isInTimeHere && !isOverMaxWait) return { kind: 'local' };
  const region = below(MAX_SPILLOVER_UTILIZATION)?.region;
  return region === undefined ? { kind: 'local' } : { kind: 'remote', region };
}
