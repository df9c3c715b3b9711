import type { RandomSource } from '../random';
import { pickIndex } from '../random';
import type { WorkEstimate } from '../work';
import type { DenseSet } from './dense-set';
import type { LongPrompts } from './long-prompts';
import type { PrefixIndex } from './prefix-index';
import type { ServerPool } from './server-pool';
import type { ServerState } from './server-state';

/** What the choice of a server rests on. */
export interface ServerChoiceInput {
  readonly kind: 'engine' | 'plain';
  readonly pool: ServerPool;
  readonly prefixIndex: PrefixIndex;
  readonly longPrompts: LongPrompts;
  readonly work: WorkEstimate;
  readonly ownFailureDomain: string;
  readonly random: RandomSource;
  readonly nowMs: number;
  /** How long the request has waited here. */
  readonly waitedMs: number;
  /** Whether the request may go there: not ejected, not leaving, not failed for it before. */
  readonly mayUse: (serverId: string) => boolean;
}

/** A server for a request. */
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

/** Servers drawn at random in each of the two circles: two are nearly as good as all, one is far worse. */
const DRAWN = 2;

/** Further draws when none of those drawn may be used, before the request counts as without a server. */
const MOST_FURTHER_DRAWS = 8;

/** Servers on the ring that a prefix belongs to while nobody is known to hold it. */
const HOMES_OF_PREFIX = 2;

/**
 * Chance that the home of a prefix holds it although this instance never sent it there: other instances
 * send their first request with it to the same home.
 */
const HOME_HOLDS_SHARE = 0.3;

/** Use above which servers of the own failure domain no longer come first for plain services. */
const NEAR_USE_LIMIT = 0.8;

/**
 * How much dearer a server of the other part is: it takes long prompts among short ones, or the reverse, only
 * when its own part is several times as loaded.
 */
const OTHER_PART_FACTOR = 8;

/** How much dearer a server is that other instances may count to the other part. */
const NEAR_LINE_FACTOR = 3;

/** Waits after which work may go to the other part; a long prompt does more harm there. */
const SHORT_PATIENCE_MS = 500;
const LONG_PATIENCE_MS = 10_000;

/** Those not chosen that a decision names. */
const RUNNERS_UP_NAMED = 3;

/**
 * What choosing a server costs the request, in prompt tokens computed: those waiting to be computed before it, its
 * own that are not cached, the slower steps of a fuller batch and the requests waiting in the server's own queue;
 * all of it more on a slow server.
 */
function costAt(server: ServerState, work: WorkEstimate, prefillTokens: number, nowMs: number) {
  const sharing = work.units * (server.utilisation(nowMs) + server.reportedWaiting(nowMs));
  return server.limit.stretch() * (server.pendingPrefillTokens() + prefillTokens + sharing);
}

/**
 * Work goes to the other part only after it has waited in vain for its own: a little waiting costs less than
 * sharing steps with a long prompt, and a wrong division must not leave servers idle for long.
 */
function mayCross({ longPrompts, work, waitedMs }: ServerChoiceInput): boolean {
  return waitedMs > (longPrompts.isLong(work) ? LONG_PATIENCE_MS : SHORT_PATIENCE_MS);
}

function partFactor(server: ServerState, { longPrompts, work }: ServerChoiceInput): number {
  if (!longPrompts.isFor(server.place(), work)) return OTHER_PART_FACTOR;
  return longPrompts.isNearLine(server.place()) ? NEAR_LINE_FACTOR : 1;
}

function draw(set: DenseSet<ServerState>, input: ServerChoiceInput, count: number): ServerState[] {
  const { random, mayUse, longPrompts, work } = input;
  const drawn: ServerState[] = [];
  let otherPart: ServerState | undefined;
  const draws = Math.min(set.size(), MOST_FURTHER_DRAWS);
  for (let index = 0; index < draws && drawn.length < count; index += 1) {
    const server = set.at(pickIndex(random, set.size()));
    if (drawn.includes(server) || !mayUse(server.serverId)) continue;
    if (longPrompts.isFor(server.place(), work)) drawn.push(server);
    else if (mayCross(input)) otherPart ??= server;
  }
  if (drawn.length === 0 && otherPart !== undefined) drawn.push(otherPart);
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
      .slice(0, RUNNERS_UP_NAMED)
      .map(({ server }) => server.serverId),
  };
}

/**
 * Chooses an engine by what is probably cached and by work in flight.
 *
 * It answers shared prefixes and lagging reports. Least in flight alone spreads each prefix over all engines, so
 * that each computes and stores it and none has room for the others; affinity alone sends a hot
 * prefix to one engine until that falls behind. The cost weighs both in the same unit, so that a prefix spreads to
 * one more engine exactly when waiting for its holders costs more than computing it again. A few servers
 * drawn at random stand beside the holders: of those that last reported themselves idle each instance draws
 * others, and they don't all go to the same one.
 */
function chooseEngine(input: ServerChoiceInput): ServerChoice | undefined {
  const { pool, prefixIndex, longPrompts, work, nowMs, mayUse, ownFailureDomain } = input;
  const candidates: Candidate[] = [];

  const consider = (
    server: ServerState | undefined,
    cachedTokens: number,
    reason: ServerChoice['reason'],
  ) => {
    if (server === undefined || !server.limit.hasRoom() || !mayUse(server.serverId)) return;
    if (candidates.some((candidate) => candidate.server === server)) return;
    const prefillTokens = Math.max(0, work.promptTokens - cachedTokens);
    const isOwnPart = longPrompts.isFor(server.place(), work);
    if (!isOwnPart && !mayCross(input)) return;
    const cost = partFactor(server, input) * costAt(server, work, prefillTokens, nowMs);
    candidates.push({ server, reason, prefillTokens, cost });
  };

  const holders = prefixIndex.holders(work.prefixes, nowMs);
  for (const { serverId, tokens } of holders) consider(pool.get(serverId), tokens, 'holds-prefix');
  const longest = work.prefixes.at(-1);
  if (longest !== undefined && holders.length < HOMES_OF_PREFIX) {
    for (const home of pool.ring().after(longest.key, HOMES_OF_PREFIX)) {
      consider(home, HOME_HOLDS_SHARE * longest.tokens, 'home-of-prefix');
    }
  }
  for (const server of draw(pool.roomyIn(ownFailureDomain), input, DRAWN)) {
    consider(server, 0, 'near-least-work');
  }
  for (const server of draw(pool.roomy(), input, DRAWN)) consider(server, 0, 'least-work');
  return toChoice(candidates);
}

/**
 * Chooses a plain server: the less loaded of two drawn from the own failure domain, and of two from all when
 * those near are nearly full. Two choices keep the fullest server close to the mean, where always the least
 * loaded would send every instance's calls to the same one between two reports.
 */
function choosePlain(input: ServerChoiceInput): ServerChoice | undefined {
  const { pool, work, nowMs, ownFailureDomain } = input;
  const toCandidate =
    (reason: ServerChoice['reason']) =>
    (server: ServerState): Candidate => ({
      server,
      reason,
      prefillTokens: 0,
      cost: costAt(server, work, 0, nowMs),
    });
  const near = draw(pool.roomyIn(ownFailureDomain), input, DRAWN).map(
    toCandidate('near-least-work'),
  );
  const hasNearRoom = near.some(({ server }) => server.utilisation(nowMs) < NEAR_USE_LIMIT);
  if (hasNearRoom) return toChoice(near);
  const anywhere = draw(pool.roomy(), input, DRAWN).map(toCandidate('least-work'));
  return toChoice([...near, ...anywhere]);
}

/**
 * A server for a request of a caller that uses less than its fair part, for which the limits give way by one request.
 *
 * It answers a few heavy callers. They keep every limit used, and a light caller's request would wait for the next
 * of this instance's own requests to end, which with many instances and servers is far longer than the
 * server itself would have it wait.
 */
export function chooseSparseServer(input: ServerChoiceInput): ServerChoice | undefined {
  const { pool, work, nowMs, random, mayUse, longPrompts } = input;
  const servers = pool.all();
  const candidates: Candidate[] = [];
  for (let index = 0; index < MOST_FURTHER_DRAWS && candidates.length < 2 * DRAWN; index += 1) {
    const server = servers[pickIndex(random, servers.length)];
    if (server === undefined || !server.limit.hasSparseRoom()) continue;
    if (!mayUse(server.serverId) || !longPrompts.isFor(server.place(), work)) continue;
    const cost = costAt(server, work, work.promptTokens, nowMs);
    candidates.push({ server, reason: 'sparse-caller', prefillTokens: work.promptTokens, cost });
  }
  return toChoice(candidates);
}

/** Chooses a server with room for a request; undefined when none of those looked at may take it now. */
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
