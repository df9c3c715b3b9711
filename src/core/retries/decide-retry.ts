import type { RetryOptions } from '../configuration';
import { judgeOutcome } from '../outcomes';
import type { RandomSource } from '../random';
import { REFUSALS } from '../refusals';
import type { FailedAttempt, GiveUpReason, RetryDecision } from './types';

/**
 * Retries requests that failed because one server, connection or peer was lost, by sending them to another
 * one. Unbounded retries would make the failure worse, so a retry must pass each of these checks:
 *
 * - Only requests that may run twice are sent twice; repeating a booking, for example, would book a cabin or a
 *   visa twice.
 * - No retry after the response head was sent: the caller would read parts of two answers as one.
 * - Only the instance that received the request from the caller retries. If each hop made 3 attempts, two hops
 *   would make 9.
 * - No third attempt after two that may have run: a request that may have crashed two servers is not sent to a
 *   third.
 * - No retry past the deadline, and none for a caller that has disconnected, since nobody would receive the
 *   answer.
 * - Only within the retry budget, which is checked last so that no other reason to give up consumes it.
 *
 * Requests that did not run are sent elsewhere at once, since no server has spent work on them. Requests that
 * may have run wait for a random part of an exponential backoff: without this jitter, all requests interrupted
 * by one crash would arrive at the remaining servers at the same time.
 */

/** Refusals that any other server or peer would return as well. */
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

/**
 * Refusals caused by a failed connection to one server or peer: unlike other requests that were refused before
 * sending, these may succeed at another server or peer.
 */
const CONNECTION_FAILURES: ReadonlySet<string> = new Set([
  REFUSALS.serverFailed.slug,
  REFUSALS.peerFailed.slug,
]);

/** Limits how many servers one request can crash before instances have learned of each other's crashes. */
const MAX_ATTEMPTS_THAT_MAY_HAVE_RUN = 2;

/** Minimum time for an attempt, ms; with less it would only be cut off by the deadline. */
const MIN_ATTEMPT_MS = 10;

function mayOtherTargetSucceed({ refusal, evidence }: FailedAttempt): boolean {
  if (FINAL_REFUSALS.has(refusal.slug)) return false;
  // A request that this instance refused before sending would be refused again.
  return evidence.kind !== 'neverSent' || CONNECTION_FAILURES.has(refusal.slug);
}

function reasonToGiveUp(failed: FailedAttempt, options: RetryOptions): GiveUpReason | undefined {
  if (failed.headSent) return 'head sent';
  if (failed.callerGone) return 'caller gone';
  if (failed.isForwarded) return 'forwarded';
  if (!failed.isRepeatable) return 'not repeatable';
  if (!mayOtherTargetSucceed(failed)) return 'refusal is final';
  if (failed.triesThatMayHaveRun >= MAX_ATTEMPTS_THAT_MAY_HAVE_RUN) return 'may have run twice';
  if (failed.tries >= options.mostTries) return 'tries used up';
  return undefined;
}

function backoffMs(tries: number, options: RetryOptions, random: RandomSource): number {
  const maxBackoffMs = Math.min(options.backoffCapMs, options.backoffBaseMs * 2 ** (tries - 1));
  return maxBackoffMs * random.next();
}

/** Decides whether and when to retry. `takeFromBudget` is called only if all other checks allow a retry. */
export function decideRetry(
  failed: FailedAttempt,
  options: RetryOptions,
  random: RandomSource,
  takeFromBudget: () => boolean,
): RetryDecision {
  const reason = reasonToGiveUp(failed, options);
  if (reason !== undefined) return { kind: 'giveUp', reason };
  const didNotRun = judgeOutcome(failed.evidence) === 'notRun';
  const atMs = failed.nowMs + (didNotRun ? 0 : backoffMs(failed.tries, options, random));
  if (atMs + MIN_ATTEMPT_MS > failed.deadlineAtMs) {
    return { kind: 'giveUp', reason: 'deadline too near' };
  }
  if (!takeFromBudget()) return { kind: 'giveUp', reason: 'budget empty' };
  return { kind: 'retry', atMs, reason: didNotRun ? 'did not run' : 'may have run' };
}
