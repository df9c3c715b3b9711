import type { RandomSource } from '../random';
import { pickIndex } from '../random';
import type { WorkEstimate } from '../work';
import type { DenseSet } from './dense-set';
import type { LongPromptPartition } from './long-prompts';
import type { PrefixIndex } from './prefix-index';
import type { ServerPool } from './server-pool';
import type { ServerState } from './server-state';

/** Input of `chooseServer`. */
export interface ServerChoiceInput {
  readonly kind: 'engine' | 'plain';
  readonly pool: ServerPool;
  readonly prefixIndex: PrefixIndex;
  readonly longPrompts: LongPromptPartition;
  readonly work: WorkEstimate;
  readonly ownFailureDomain: string;
  readonly random: RandomSource;
  readonly nowMs: number;
  /** Time that the request has waited on this instance, ms. */
  readonly waitedMs: number;
  /**
   * Returns whether the request may use the server: not ejected, not leaving, and no failed attempt of this
   * request.
   */
  readonly mayUse: (serverId: string) => boolean;
}

/** The server chosen for a request. */
export interface ServerChoice {
  readonly server: ServerState;
  /** Prompt tokens that the server will probably have to compute. */
  readonly prefillTokens: number;
  readonly runnersUp: readonly string[];
  readonly reason:
    'holds-prefix' | 'home-of-prefix' | 'sparse-caller' | 'least-work' | 'near-least-work';
}

interface Candidate {
  readonly server: ServerState;
  readonly reason: ServerChoice['reason'];
  readonly prefillTokens: number;
  readonly cost: number;
}

/**
 * Number of servers sampled at random from the own failure domain and from all: two are nearly as good as all,
 * one is far worse.
 */
const SAMPLE_SIZE = 2;

/**
 * Maximum number of random draws per sample; draws of unusable servers count too, so that a sample may stay
 * incomplete.
 */
const MAX_DRAWS = 8;

/**
 * Number of servers on the hash ring that are the home of a prefix, considered while too few engines are known
 * to hold it.
 */
const PREFIX_HOME_SERVERS = 2;

/**
 * Probability that the home of a prefix holds it although this instance never sent it there: other instances
 * send their first request with this prefix to the same home.
 */
const HOME_CACHE_PROBABILITY = 0.3;

/** Utilisation above which servers of the own failure domain are no longer preferred for plain services. */
const MAX_LOCAL_UTILISATION = 0.8;

/**
 * Cost factor for servers of the other partition: such a server is used for long prompts among short
 * ones, or the reverse, only if the own partition is several times as loaded.
 */
const OTHER_PARTITION_COST_FACTOR = 8;

/** Cost factor for servers near the boundary, which other instances may assign to the other partition. */
const NEAR_BOUNDARY_COST_FACTOR = 3;

/** Time that a short prompt waits for its own partition before it may use the other one, ms. */
const SHORT_PROMPT_DELAY_MS = 500;
/** The same for a long prompt; longer, since it does more harm in the other partition. */
const LONG_PROMPT_DELAY_MS = 10_000;

/** Maximum number of alternatives named in a decision. */
const MAX_RUNNERS_UP = 3;

/**
 * Estimates the cost of serving the request at this server, expressed as a number of prompt tokens to compute:
 * the tokens to be computed before it, its own tokens that are not cached, and an equivalent for slower steps
 * in a fuller batch and for requests in the server's own queue. All of it is multiplied by the factor by which
 * the server is slowed down.
 */
function estimateCost(
  server: ServerState,
  work: WorkEstimate,
  prefillTokens: number,
  nowMs: number,
) {
  const batchCost = work.units * (server.utilisation(nowMs) + server.reportedWaiting(nowMs));
  return server.limit.stretch() * (server.pendingPrefillTokens() + prefillTokens + batchCost);
}

/**
 * Returns whether the request may use the other partition: only after it has waited in vain for its own. A
 * short wait costs less than sharing steps with a long prompt, but a wrong partitioning must not leave servers
 * idle for long.
 */
function mayUseOtherPartition({ longPrompts, work, waitedMs }: ServerChoiceInput): boolean {
  return waitedMs > (longPrompts.isLong(work) ? LONG_PROMPT_DELAY_MS : SHORT_PROMPT_DELAY_MS);
}

function partitionCostFactor(
  server: ServerState,
  { longPrompts, work }: ServerChoiceInput,
): number {
  if (!longPrompts.matches(server.hashRank(), work)) return OTHER_PARTITION_COST_FACTOR;
  return longPrompts.isNearBoundary(server.hashRank()) ? NEAR_BOUNDARY_COST_FACTOR : 1;
}

function sample(
  set: DenseSet<ServerState>,
  input: ServerChoiceInput,
  count: number,
): ServerState[] {
  const { random, mayUse, longPrompts, work } = input;
  const drawn: ServerState[] = [];
  let fallback: ServerState | undefined;
  const draws = Math.min(set.size(), MAX_DRAWS);
  for (let index = 0; index < draws && drawn.length < count; index += 1) {
    const server = set.at(pickIndex(random, set.size()));
    if (drawn.includes(server) || !mayUse(server.serverId)) continue;
    if (longPrompts.matches(server.hashRank(), work)) drawn.push(server);
    else if (mayUseOtherPartition(input)) fallback ??= server;
  }
  if (drawn.length === 0 && fallback !== undefined) drawn.push(fallback);
  return drawn;
}

function toChoice(candidates: readonly Candidate[]): ServerChoice | undefined {
  const [first, ...others] = candidates;
  if (first === undefined) return undefined;
  const best = others.reduce((least, next) => (next.cost < least.cost ? next : least), first);
  return {
    server: best.server,
    prefillTokens: best.prefillTokens,
    reason: best.reason,
    runnersUp: candidates
      .filter((candidate) => candidate !== best)
      .sort((left, right) => left.cost - right.cost)
      .slice(0, MAX_RUNNERS_UP)
      .map(({ server }) => server.serverId),
  };
}

/**
 * Chooses an engine by the prefixes that are probably cached and by the work in flight.
 *
 * Choosing by the fewest requests in flight alone spreads each prefix over all engines, so that each computes
 * and stores it and has no capacity for others. Affinity alone sends a hot prefix to one engine until that one
 * falls behind. The cost combines both in one unit, so that a prefix spreads to one more engine exactly when
 * waiting for its holders costs more than computing it again.
 *
 * Load reports lag behind, so a few servers sampled at random are considered beside the holders: each instance
 * samples different ones of those that last reported themselves idle, and they do not all choose the same one.
 */
function chooseEngine(input: ServerChoiceInput): ServerChoice | undefined {
  const { pool, prefixIndex, longPrompts, work, nowMs, mayUse, ownFailureDomain } = input;
  const candidates: Candidate[] = [];

  const tryAdd = (
    server: ServerState | undefined,
    cachedTokens: number,
    reason: ServerChoice['reason'],
  ) => {
    if (server === undefined || !server.limit.hasCapacity() || !mayUse(server.serverId)) return;
    if (candidates.some((candidate) => candidate.server === server)) return;
    const prefillTokens = Math.max(0, work.promptTokens - cachedTokens);
    const isOwnPartition = longPrompts.matches(server.hashRank(), work);
    if (!isOwnPartition && !mayUseOtherPartition(input)) return;
    const cost =
      partitionCostFactor(server, input) * estimateCost(server, work, prefillTokens, nowMs);
    candidates.push({ server, reason, prefillTokens, cost });
  };

  const holders = prefixIndex.holders(work.prefixes, nowMs);
  for (const { serverId, tokens } of holders) tryAdd(pool.get(serverId), tokens, 'holds-prefix');
  const longestPrefix = work.prefixes.at(-1);
  if (longestPrefix !== undefined && holders.length < PREFIX_HOME_SERVERS) {
    for (const home of pool.ring().after(longestPrefix.key, PREFIX_HOME_SERVERS)) {
      tryAdd(home, HOME_CACHE_PROBABILITY * longestPrefix.tokens, 'home-of-prefix');
    }
  }
  for (const server of sample(pool.availableIn(ownFailureDomain), input, SAMPLE_SIZE)) {
    tryAdd(server, 0, 'near-least-work');
  }
  for (const server of sample(pool.available(), input, SAMPLE_SIZE)) {
    tryAdd(server, 0, 'least-work');
  }
  return toChoice(candidates);
}

/**
 * Chooses a plain server: the less loaded of two sampled from the own failure domain; if those are nearly
 * full, two sampled from all servers are considered too. Two choices keep the load of the fullest server close
 * to the mean, whereas always choosing the least loaded one would send the calls of all instances to the same
 * server between two reports.
 */
function choosePlain(input: ServerChoiceInput): ServerChoice | undefined {
  const { pool, work, nowMs, ownFailureDomain } = input;
  const toCandidate =
    (reason: ServerChoice['reason']) =>
    (server: ServerState): Candidate => ({
      server,
      reason,
      prefillTokens: 0,
      cost: estimateCost(server, work, 0, nowMs),
    });
  const near = sample(pool.availableIn(ownFailureDomain), input, SAMPLE_SIZE).map(
    toCandidate('near-least-work'),
  );
  const hasLocalCapacity = near.some(
    ({ server }) => server.utilisation(nowMs) < MAX_LOCAL_UTILISATION,
  );
  if (hasLocalCapacity) return toChoice(near);
  const anywhere = sample(pool.available(), input, SAMPLE_SIZE).map(toCandidate('least-work'));
  return toChoice([...near, ...anywhere]);
}

/**
 * Chooses a server for a request of a caller that uses less than its fair share; for it, the limits may be
 * exceeded by one request.
 *
 * Protects light callers from a few heavy ones, which keep every limit used. Otherwise a light caller's
 * request would wait for the next of this instance's own requests to end. With many instances and servers,
 * that takes far longer than the wait at the server itself.
 */
export function chooseSparseServer(input: ServerChoiceInput): ServerChoice | undefined {
  const { pool, work, nowMs, random, mayUse, longPrompts } = input;
  const servers = pool.all();
  const candidates: Candidate[] = [];
  for (let index = 0; index < MAX_DRAWS && candidates.length < 2 * SAMPLE_SIZE; index += 1) {
    const server = servers[pickIndex(random, servers.length)];
    if (server === undefined || !server.limit.hasSparseCapacity()) continue;
    if (!mayUse(server.serverId) || !longPrompts.matches(server.hashRank(), work)) continue;
    const cost = estimateCost(server, work, work.promptTokens, nowMs);
    candidates.push({ server, reason: 'sparse-caller', prefillTokens: work.promptTokens, cost });
  }
  return toChoice(candidates);
}

/**
 * Chooses a server with capacity for a request; returns undefined if none of those considered may take it now.
 */
export function chooseServer(input: ServerChoiceInput): ServerChoice | undefined {
  switch (input.kind) {
    case 'engine':
      return chooseEngine(input);
    case 'plain':
      return choosePlain(input);
    default:
      return input.kind satisfies never;
  }
}
