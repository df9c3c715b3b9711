import { POISON_EVENTS } from '../src/core/poison';
import { isWithinQuota } from './accounts';
import { isAnswered } from './callers';
import type { LogLine } from './log-lines';
import type { BrokenPromise, CallerAttempt, InstanceLoss, LinkCut, ServerEnd } from './types';

/** Checks what callers of instances without links to backend servers got, and what requests were suspected of. */

/** Time after the begin of a cut from which callers are served as others are, ms. */
const NOTICED_AFTER_MS = 2_000;
/** Attempts in cuts below which their share says nothing: other faults strike the same callers. */
const MIN_ATTEMPTS = 40;
/** Share of other callers' requests below which other faults hide those of links. */
const MIN_OTHERS_SHARE = 0.5;
/** Minimum share of answered requests in cuts, as a part of the share of other callers at the same times. */
const MIN_SHARE_OF_OTHERS = 0.7;

/** Events that say that a server crashed while it ran a request. */
const CRASH_EVENTS: ReadonlySet<number> = new Set([
  POISON_EVENTS.suspected.id,
  POISON_EVENTS.proven.id,
]);

/** Requests in cuts, and those of them with a complete answer. */
export interface CutOffTally {
  readonly count: number;
  readonly answered: number;
  /** The same for callers of other instances at the same times. */
  readonly others: { readonly count: number; readonly answered: number };
}

const tally = (attempts: readonly CallerAttempt[]) => ({
  count: attempts.length,
  answered: attempts.filter(isAnswered).length,
});

/** Returns whether a time is in a loss of all instances, or before an instance has to know of a cut after it. */
function isInLossOfAll(atMs: number, losses: readonly InstanceLoss[]): boolean {
  return losses.some(
    ({ isOfAll, fromMs, toMs }) => isOfAll && atMs >= fromMs && atMs < toMs + NOTICED_AFTER_MS,
  );
}

/**
 * Counts the answers that callers of instances in cuts and of others got. While all instances stop or start, a cut one has no
 * other to which it could hand its requests, and refuses them.
 */
export function tallyCutOff(
  attempts: readonly CallerAttempt[],
  cuts: readonly LinkCut[],
  callerAddress: (instance: number) => string,
  losses: readonly InstanceLoss[],
): CutOffTally {
  const cutOff: CallerAttempt[] = [];
  const others: CallerAttempt[] = [];
  for (const attempt of attempts) {
    const { address, atMs, status, key } = attempt;
    if (isInLossOfAll(atMs, losses)) continue;
    const current = cuts.filter(
      ({ fromMs, toMs }) => atMs >= fromMs + NOTICED_AFTER_MS && atMs < toMs,
    );
    const isCutOff = current.some(({ instance }) => callerAddress(instance) === address);
    const isNewlyCutOff = cuts.some(
      ({ instance, fromMs }) =>
        callerAddress(instance) === address && atMs >= fromMs && atMs < fromMs + NOTICED_AFTER_MS,
    );
    // Without a status, the instance itself was gone or paused.
    const isJudged =
      current.length > 0 && !isNewlyCutOff && status !== undefined && isWithinQuota(key);
    if (isJudged) (isCutOff ? cutOff : others).push(attempt);
  }
  return { ...tally(cutOff), others: tally(others) };
}

/** Checks that callers of instances that were cut off were answered nearly as often as others at the same times. */
export function checkCutOff({ count, answered, others }: CutOffTally): readonly BrokenPromise[] {
  const othersShare = others.answered / Math.max(1, others.count);
  if (count < MIN_ATTEMPTS || othersShare < MIN_OTHERS_SHARE) return [];
  if (answered >= count * othersShare * MIN_SHARE_OF_OTHERS) return [];
  const detail = `${answered} of ${count}, others ${others.answered} of ${others.count}`;
  return [{ promise: 'cutOffNotServed', requestId: '', detail }];
}

/** Checks that no crash of a server was counted against a request before that start of the server had ended. */
export function checkSuspects(
  logs: readonly (readonly LogLine[])[],
  ends: readonly ServerEnd[],
): readonly BrokenPromise[] {
  return logs
    .flat()
    .filter(({ event }) => CRASH_EVENTS.has(event))
    .flatMap(({ timestamp, requestId = '', server = '' }) => {
      const hasEnded = ends.some(
        (end) => end.server === server && end.atMs <= Date.parse(timestamp),
      );
      if (hasEnded) return [];
      const detail = `${server} had not ended at ${timestamp}`;
      return [{ promise: 'harmlessSuspected', requestId, detail }];
    });
}
