import type { RetryOptions } from '../configuration';
import { judgeOutcome } from '../outcomes';
import type { RandomSource } from '../random';
import { REFUSALS } from '../refusals';
import type { FailedTry, GiveUpReason, RetryDecision } from './types';

/**
 * Answers the loss of single servers, connections and peers: a request whose server has gone is answered by
 * another one. Done without bounds it makes the failure worse, so a try must pass each of these tests:
 *
 * - Only work that may run twice is sent twice; anything else could book a cabin and a visa again.
 * - Nothing after the head: the caller would read two halves of different answers as one.
 * - Only the instance that the caller asked retries. If each hop made 3 tries, two hops would make 9.
 * - No third try after two that may have run: what has cost two servers is not shown a third.
 * - Never past the deadline; a caller that has hung up gets nothing for the work.
 * - Only inside the budget, and that is asked last so that no other refusal spends it.
 *
 * Work that did not run goes elsewhere at once, since no server has spent anything on it. Work that may have
 * run waits for a random part of a doubling pause: without the jitter all requests that one crash cut off
 * would arrive together at the servers left.
 */

/** Refusals that another server or peer would repeat. */
const FINAL_REFUSALS: ReadonlySet<string> = new Set([
  REFUSALS.malformedRequest.slug,
  REFUSALS.unauthenticated.slug,
  REFUSALS.unknownPath.slug,
  REFUSALS.unknownService.slug,
  REFUSALS.bodyTooLarge.slug,
  REFUSALS.regionNotAllowed.slug,
  REFUSALS.deadlineExceeded.slug,
  REFUSALS.internalFault.slug,
  REFUSALS.poisonRequest.slug,
  REFUSALS.rateLimited.slug,
]);

/** Failures to send that come from the other side, though nothing left this process. */
const CONNECTION_FAILURES: ReadonlySet<string> = new Set([
  REFUSALS.serverFailed.slug,
  REFUSALS.peerFailed.slug,
]);

/** Bounds what one request costs where instances have not heard of each other's crashes yet. */
const MOST_TRIES_THAT_MAY_HAVE_RUN = 2;

/** Time that a try needs at the least; a shorter one would only be cut off. */
const LEAST_TRY_MS = 10;

function isWorthRetrying({ refusal, evidence }: FailedTry): boolean {
  if (FINAL_REFUSALS.has(refusal.slug)) return false;
  // What this instance itself refused before sending, it would refuse again.
  return evidence.kind !== 'neverSent' || CONNECTION_FAILURES.has(refusal.slug);
}

function whyNot(failed: FailedTry, options: RetryOptions): GiveUpReason | undefined {
  if (failed.headSent) return 'head sent';
  if (failed.callerGone) return 'caller gone';
  if (failed.isForwarded) return 'forwarded';
  if (!failed.isRepeatable) return 'not repeatable';
  if (!isWorthRetrying(failed)) return 'refusal is final';
  if (failed.triesThatMayHaveRun >= MOST_TRIES_THAT_MAY_HAVE_RUN) return 'may have run twice';
  if (failed.tries >= options.mostTries) return 'tries used up';
  return undefined;
}

function pauseMs(tries: number, options: RetryOptions, random: RandomSource): number {
  const longestMs = Math.min(options.backoffCapMs, options.backoffBaseMs * 2 ** (tries - 1));
  return longestMs * random.next();
}

/** Decides about another try. `takeFromBudget` is called only when all else allows one. */
export function decideRetry(
  failed: FailedTry,
  options: RetryOptions,
  random: RandomSource,
  takeFromBudget: () => boolean,
): RetryDecision {
  const reason = whyNot(failed, options);
  if (reason !== undefined) return { kind: 'giveUp', reason };
  const didNotRun = judgeOutcome(failed.evidence) === 'notRun';
  const atMs = failed.nowMs + (didNotRun ? 0 : pauseMs(failed.tries, options, random));
  if (atMs + LEAST_TRY_MS > failed.deadlineAtMs) {
    return { kind: 'giveUp', reason: 'deadline too near' };
  }
  if (!takeFromBudget()) return { kind: 'giveUp', reason: 'budget empty' };
  return { kind: 'retry', atMs, reason: didNotRun ? 'did not run' : 'may have run' };
}
