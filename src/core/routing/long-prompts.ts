import type { WorkEstimate } from '../work';

/**
 * Partitions the engines by prompt length (size-interval task assignment), so that long prompts do not slow
 * down short ones.
 *
 * An engine computes a prompt in chunks, beside the tokens of all other requests in its batch, so that one
 * long prompt makes every step many times as long: a chat answer of 60 tokens that takes 2 s then takes 10 s.
 * If the requests are spread evenly and a tenth of them are long, this happens on each engine, and no queueing
 * order helps requests that are already in a batch.
 *
 * So the partition for long prompts is as large as their share of the work, rounded up since they also fill
 * the engines' memory. Each instance computes the same partition, since servers are ordered by hash and the
 * share is about the same everywhere. Each partition takes work of the other at a higher cost.
 */
export interface LongPromptPartition {
  /** Sets the number of servers and partitions them again. */
  setServerCount(count: number): void;
  /** Records the work of a request that was assigned to a server. */
  recordWork(work: WorkEstimate): void;
  isLong(work: WorkEstimate): boolean;
  /** Returns whether the server at this hash rank (from 0 to less than 1) belongs to the partition for this work. */
  matches(hashRank: number, work: WorkEstimate): boolean;
  /**
   * Returns whether the server is next to the boundary between the partitions. The estimates of instances
   * differ slightly, so that some of them may assign it to the other partition.
   */
  isNearBoundary(hashRank: number): boolean;
}

/**
 * Prompt tokens from which a prompt is long: twice the usual chunk, so that an engine needs several steps for
 * it.
 */
export const LONG_PROMPT_TOKENS = 4_096;

/**
 * Weight of a new request in the moving averages of work: long prompts are rare, so estimating their share
 * takes several hundred requests.
 */
const NEW_REQUEST_WEIGHT = 0.002;

/**
 * Shares of long prompts below and above which one partition would be too small to matter, so that none are
 * formed.
 */
const MIN_SHARE = 0.02;
const MAX_SHARE = 0.9;

/** Number of servers on either side of the boundary that count as near it. */
const NEAR_BOUNDARY_SERVERS = 1;

/**
 * Minimum number of requests before partitioning: one long prompt among the first would look like half of the
 * work.
 */
const MIN_RECORDED_REQUESTS = 50;

/** Number of servers by which the boundary must be off before it moves, to avoid oscillation. */
const REPARTITION_THRESHOLD = 0.75;

/** Creates a partitioning in which all engines take all prompts until enough requests were recorded. */
export function createLongPromptPartition(): LongPromptPartition {
  let longUnits = 0;
  let allUnits = 0;
  let recordedRequests = 0;
  let serverCount = 0;
  let longServerCount = 0;

  const isLong = ({ promptTokens }: WorkEstimate) => promptTokens >= LONG_PROMPT_TOKENS;

  /**
   * Moves the boundary once the share is clearly closer to another number of servers; rounds up because of the
   * memory that long prompts need.
   */
  const repartition = () => {
    if (recordedRequests < MIN_RECORDED_REQUESTS) return;
    const share = allUnits === 0 ? 0 : longUnits / allUnits;
    if (Math.abs(share * serverCount - (longServerCount - 0.5)) < REPARTITION_THRESHOLD) return;
    const shouldPartition = share > MIN_SHARE && share < MAX_SHARE;
    const wanted = Math.min(serverCount - 1, Math.max(1, Math.ceil(share * serverCount)));
    longServerCount = shouldPartition && serverCount > 1 ? wanted : 0;
  };

  return {
    isLong,
    setServerCount(count) {
      serverCount = count;
      longServerCount = 0;
      repartition();
    },
    recordWork(work) {
      recordedRequests += 1;
      longUnits += NEW_REQUEST_WEIGHT * ((isLong(work) ? work.units : 0) - longUnits);
      allUnits += NEW_REQUEST_WEIGHT * (work.units - allUnits);
      repartition();
    },
    isNearBoundary: (hashRank) =>
      longServerCount > 0 &&
      Math.abs(hashRank * serverCount + 0.5 - longServerCount) < NEAR_BOUNDARY_SERVERS,
    matches(hashRank, work) {
      if (longServerCount === 0 || longServerCount === serverCount) return true;
      return hashRank * serverCount < longServerCount === isLong(work);
    },
  };
}
