/** Demand of one account, or of several that are assumed to ask for the same. */
export interface SharedDemand {
  /** Demand of all `count` accounts together. */
  readonly cost: number;
  readonly count: number;
}

/**
 * Returns the max-min fair share: the largest level such that the demands, each capped at that level, add up to the
 * capacity. Infinity if the capacity suffices for all demands.
 *
 * Each pass divides what the accounts below the level leave among the others, so that no sorting of thousands of
 * accounts is needed. The level only rises; a pass without a change ends the computation, after a handful of passes.
 */
export function fairShare(demands: readonly SharedDemand[], capacity: number): number {
  let level = 0;
  for (;;) {
    let belowCost = 0;
    let aboveCount = 0;
    for (const { cost, count } of demands) {
      if (count > 0 && cost <= level * count) belowCost += cost;
      else aboveCount += count;
    }
    if (aboveCount === 0) return Infinity;
    const next = Math.max(0, capacity - belowCost) / aboveCount;
    // Rounding may lower the level slightly. Without this check, the passes could repeat forever.
    if (next <= level) return level;
    level = next;
  }
}
