import { sleepUntil } from '../clock';
import { recordDraws } from '../decision-trace';
import { judgeOutcome } from '../outcomes';
import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import { RETRY_EVENTS, decideRetry, isRepeatable } from '../retries';
import type { FailedAttempt, RetryBudget, RetryDecision } from '../retries';
import type { ServingDependencies } from './dependencies';
import type { AttemptRunner } from './run-attempt';
import type { GatewayRequest, ResponseSink } from './types';

/** What making attempts needs. */
export interface AttemptsDependencies extends Pick<
  ServingDependencies,
  'clock' | 'random' | 'logger' | 'poison' | 'record'
> {
  readonly runAttempt: AttemptRunner;
  readonly retryBudget: RetryBudget;
}

/**
 * The refusal of the whole request. If an earlier try may have run, the last one's "not run" speaks for
 * itself alone: told to the caller, it would have a request that did run sent once more.
 */
function refusalOfAll(last: RefusalError, earlier: Evidence | undefined): RefusalError {
  if (earlier === undefined || last.outcome === 'unknown') return last;
  return new RefusalError(last.definition, {
    detail: `${last.message} An earlier try may have run.`,
    step: last.step,
    ...(last.peer === undefined ? {} : { peer: last.peer }),
    evidence: earlier,
    retryAtUnixMs: last.retryAtUnixMs,
    cause: last,
  });
}

/** Refuses a request that is known to crash servers, after whatever it did so far. */
function refuseIfPoison(
  { poison }: AttemptsDependencies,
  request: GatewayRequest,
  mayHaveRun: Evidence | undefined,
): void {
  const verdict = poison.verdict(request);
  if (verdict.kind !== 'refused') return;
  throw new RefusalError(REFUSALS.poisonRequest, {
    detail: `${verdict.crashes} servers broke their connection while they ran it.`,
    step: 'check-poison',
    evidence: mayHaveRun ?? { kind: 'neverSent' },
    retryAtUnixMs: verdict.untilUnixMs,
  });
}

function logDecision(
  { logger }: AttemptsDependencies,
  request: GatewayRequest,
  refusal: RefusalError,
  decision: RetryDecision,
): void {
  const event = decision.kind === 'retry' ? RETRY_EVENTS.retried : RETRY_EVENTS.gaveUp;
  logger.event(event, {
    requestId: request.requestId,
    attempt: request.attempt,
    service: request.service.name,
    refusal: refusal.definition.slug,
    outcome: refusal.outcome,
    peer: refusal.peer,
    reason: decision.reason,
  });
}

function decide(
  dependencies: AttemptsDependencies,
  request: GatewayRequest,
  counts: Pick<FailedAttempt, 'tries' | 'triesThatMayHaveRun'>,
  refusal: RefusalError,
  sink: ResponseSink,
  signal: AbortSignal,
): RetryDecision {
  const { clock, retryBudget, record } = dependencies;
  const random = recordDraws(dependencies.random);
  const options = request.configuration.document.resilience.retries;
  const { evidence, definition } = refusal;
  const failed = {
    ...counts,
    evidence,
    isRepeatable: request.guard === undefined && isRepeatable(request),
    headSent: sink.headSent,
    callerGone: signal.aborted,
    isForwarded: request.origin.kind === 'peer',
    nowMs: clock.monotonicMs(),
    deadlineAtMs: request.deadlineAtMs,
  };
  let hasBudget = true;
  const decision = decideRetry({ ...failed, refusal: definition }, options, random, () => {
    hasBudget = retryBudget.tryTake(request.service.name);
    return hasBudget;
  });
  record?.({
    kind: 'retry',
    requestId: request.requestId,
    service: request.service.name,
    ...failed,
    refusal: definition.slug,
    options,
    hasBudget,
    draws: random.takeDraws(),
    outcome: decision,
  });
  return decision;
}

/** The request for another try, which names those that failed it so far. */
function nextTry(request: GatewayRequest, failedAt: string | undefined): GatewayRequest {
  const avoid = [...(request.avoid ?? []), ...(failedAt === undefined ? [] : [failedAt])];
  return { ...request, attempt: request.attempt + 1, avoid };
}

/** Adds the servers that a suspected request had better not run at. */
function avoidingForPoison(
  { poison }: AttemptsDependencies,
  request: GatewayRequest,
): GatewayRequest {
  const servers = poison.serversToAvoid(request);
  return servers.length === 0
    ? request
    : { ...request, avoid: [...(request.avoid ?? []), ...servers] };
}

/** Makes as many tries at a request as retries allow, one after the other. */
export async function runAttempts(
  dependencies: AttemptsDependencies,
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<void> {
  const { clock, retryBudget, runAttempt } = dependencies;
  let current = request;
  let mayHaveRun: Evidence | undefined;
  // A stream that goes on at another engine is one request still: what it has cost before counts.
  const costs = request.costs ?? { triesThatMayHaveRun: 0 };
  refuseIfPoison(dependencies, request, undefined);
  for (let tries = 1; ; tries += 1) {
    try {
      await runAttempt(avoidingForPoison(dependencies, current), sink, signal);
      retryBudget.answered(request.service.name);
      return;
    } catch (error) {
      if (!(error instanceof RefusalError)) throw error;
      if (judgeOutcome(error.evidence) === 'unknown') {
        costs.triesThatMayHaveRun += 1;
        mayHaveRun ??= error.evidence;
      }
      if (!sink.headSent) refuseIfPoison(dependencies, current, mayHaveRun);
      const counts = { tries, triesThatMayHaveRun: costs.triesThatMayHaveRun };
      const decision = decide(dependencies, current, counts, error, sink, signal);
      logDecision(dependencies, current, error, decision);
      if (decision.kind === 'giveUp') throw refusalOfAll(error, mayHaveRun);
      await sleepUntil(clock, decision.atMs, signal);
      current = nextTry(current, error.peer);
    }
  }
}
