import { resilienceSchema } from '../../../src/core/configuration';
import type { Evidence } from '../../../src/core/outcomes';
import { createOutlierTracker } from '../../../src/core/outliers';
import type { ObservedAttempt, OutlierTracker } from '../../../src/core/outliers';
import { createCrashLedger } from '../../../src/core/poison';
import type { CrashMark } from '../../../src/core/poison';
import { REFUSALS } from '../../../src/core/refusals';
import type { RefusalDefinition } from '../../../src/core/refusals';
import { createRetryBudget, decideRetry } from '../../../src/core/retries';
import type { AttemptEnd, LoadRequest, Policy, PolicyFactory, PolicySetup } from '../harness';

/** The project's retries, outlier ejection and poison refusal over plain least-in-flight routing. */

/** Parts that a scenario may leave out, to show what each does. */
export interface ResilientParts {
  readonly outliers: boolean;
  readonly poison: boolean;
}

const ALL_PARTS: ResilientParts = { outliers: true, poison: true };
const RESILIENCE = resilienceSchema.parse({});
const POISON_TOPIC = 'poison';
/** Prompt tokens that make one unit of work for the comparison of servers. */
const TOKENS_PER_UNIT = 1_000;

/** Silence of a server's reports after which it counts as down, as the health checks would find, ms. */
const SILENT_MS = 2_000;

interface Progress {
  readonly tries: number;
  readonly triesThatMayHaveRun: number;
  readonly avoid: readonly string[];
  readonly observed?: ObservedAttempt;
}

const FRESH: Progress = { tries: 0, triesThatMayHaveRun: 0, avoid: [] };

interface PoisonMessage {
  readonly fingerprint: string;
  readonly marks: readonly CrashMark[];
}

interface Failure {
  readonly refusal: RefusalDefinition;
  readonly evidence: Evidence;
  readonly failedAt: string;
}

function failureOf(end: AttemptEnd): Failure | undefined {
  switch (end.kind) {
    case 'unreachable':
      return {
        refusal: REFUSALS.serverFailed,
        evidence: { kind: 'neverSent' },
        failedAt: end.serverId,
      };
    case 'crashed':
      return {
        refusal: REFUSALS.serverFailed,
        evidence: { kind: 'lostAfterSending', cause: 'reset' },
        failedAt: end.serverId,
      };
    case 'refusedByPeer':
      return {
        refusal: REFUSALS.overloaded,
        evidence: { kind: 'refusedByPeer', vouches: true },
        failedAt: end.instanceId,
      };
    case 'peerLost':
      return {
        refusal: REFUSALS.peerFailed,
        evidence: { kind: 'lostAfterSending', cause: 'peerFellSilent' },
        failedAt: end.instanceId,
      };
    case 'answered':
    case 'answeredByPeer':
    case 'cancelled':
      return undefined;
    default:
      return end satisfies never;
  }
}

function createPolicy(setup: PolicySetup, parts: ResilientParts): Policy {
  const { actions, instance, random } = setup;
  const budget = createRetryBudget(() => RESILIENCE.retries);
  const ledger = createCrashLedger(() => RESILIENCE.poison);
  const outliers: OutlierTracker = createOutlierTracker(
    () => RESILIENCE.outliers,
    () => {},
  );
  const open = new Map<string, number>();
  const progress = new Map<number, Progress>();
  const reportedAtMs = new Map<string, number>();
  const openAt = (serverId: string) => open.get(serverId) ?? 0;

  const choose = (request: LoadRequest, avoid: readonly string[]): string | undefined => {
    const local = setup.servers
      .filter((server) => server.service === request.service && server.region === instance.region)
      .map(({ serverId }) => serverId);
    const others = local.filter((serverId) => !avoid.includes(serverId));
    const candidates = others.length > 0 ? others : local;
    const usable = candidates.filter(
      (serverId) =>
        actions.nowMs() - (reportedAtMs.get(serverId) ?? actions.nowMs()) < SILENT_MS &&
        (!parts.outliers || outliers.mayUse(serverId, actions.nowMs(), random)),
    );
    const [first, ...rest] = usable.length > 0 ? usable : candidates;
    if (first === undefined) return undefined;
    return rest.reduce((least, id) => (openAt(id) < openAt(least) ? id : least), first);
  };

  const refuseIfPoison = (request: LoadRequest): boolean => {
    if (!parts.poison) return false;
    const verdict = ledger.verdict(request.fingerprint, actions.nowMs());
    if (verdict.kind !== 'refused') return false;
    progress.delete(request.requestId);
    actions.refuse(request, 'poison request', verdict.untilUnixMs);
    return true;
  };

  const send = (request: LoadRequest, current: Progress): void => {
    const serverId = choose(request, current.avoid);
    if (serverId === undefined) {
      progress.delete(request.requestId);
      actions.refuse(request, 'no server');
      return;
    }
    open.set(serverId, openAt(serverId) + 1);
    const observed = outliers.begin(
      { serverId, group: request.service },
      1 + request.promptTokens / TOKENS_PER_UNIT,
      actions.nowMs(),
    );
    progress.set(request.requestId, { ...current, tries: current.tries + 1, observed });
    actions.send(request, serverId);
  };

  const noteCrash = (request: LoadRequest, serverId: string, tries: number): void => {
    const { fingerprint, requestId, allowedRegions } = request;
    const tryId = `${requestId}/${tries}`;
    ledger.note(fingerprint, { tryId, serverId, atUnixMs: actions.nowMs() });
    const message: PoisonMessage = { fingerprint, marks: ledger.marksOf(fingerprint) };
    actions.broadcast(POISON_TOPIC, JSON.stringify(message), allowedRegions);
  };

  const afterFailure = (request: LoadRequest, before: Progress, failure: Failure): void => {
    const mayHaveRun = failure.evidence.kind === 'lostAfterSending';
    const current = {
      ...before,
      avoid: [...before.avoid, failure.failedAt],
      triesThatMayHaveRun: before.triesThatMayHaveRun + (mayHaveRun ? 1 : 0),
    };
    if (refuseIfPoison(request)) return;
    const decision = decideRetry(
      {
        tries: current.tries,
        triesThatMayHaveRun: current.triesThatMayHaveRun,
        refusal: failure.refusal,
        evidence: failure.evidence,
        isRepeatable: request.repeatable,
        headSent: false,
        callerGone: false,
        isForwarded: request.fromInstanceId !== undefined,
        nowMs: actions.nowMs(),
        deadlineAtMs: request.deadlineAtMs,
      },
      RESILIENCE.retries,
      random,
      () => budget.tryTake(request.service),
    );
    if (decision.kind === 'retry') {
      actions.wakeAt(decision.atMs, () => {
        if (progress.has(request.requestId)) send(request, current);
      });
      return;
    }
    progress.delete(request.requestId);
    actions.refuse(request, decision.reason);
  };

  return {
    onRequest(request) {
      if (!refuseIfPoison(request)) send(request, FRESH);
    },
    onAttemptEnd(request, end) {
      const current = progress.get(request.requestId);
      if ('serverId' in end && end.serverId !== undefined) {
        open.set(end.serverId, openAt(end.serverId) - 1);
      }
      if (current === undefined) return;
      if (end.kind === 'answered') {
        current.observed?.partsReceived(end.usage.outputTokens);
        current.observed?.ended(actions.nowMs());
        budget.answered(request.service);
        ledger.clear(request.fingerprint, actions.nowMs());
        progress.delete(request.requestId);
        return;
      }
      const failure = failureOf(end);
      if (failure === undefined) {
        current.observed?.abandoned(actions.nowMs());
        return;
      }
      current.observed?.failed(
        actions.nowMs(),
        end.kind === 'unreachable' ? 'unreachable' : 'broken',
      );
      if (end.kind === 'crashed') noteCrash(request, end.serverId, current.tries);
      afterFailure(request, current, failure);
    },
    onFirstToken(request) {
      progress.get(request.requestId)?.observed?.headReceived(actions.nowMs(), false);
    },
    onGone(request) {
      progress.delete(request.requestId);
    },
    onLoadReport({ serverId }) {
      reportedAtMs.set(serverId, actions.nowMs());
    },
    onPeerMessage({ topic, payload }) {
      if (topic !== POISON_TOPIC) return;
      const { fingerprint, marks } = JSON.parse(payload) as PoisonMessage;
      marks.forEach((mark) => ledger.note(fingerprint, mark));
    },
  };
}

/** The policy, whole or without the parts that are switched off. */
export function resilient(
  name = 'coltsfootworks',
  parts: Partial<ResilientParts> = {},
): PolicyFactory {
  return { name, create: (setup) => createPolicy(setup, { ...ALL_PARTS, ...parts }) };
}
