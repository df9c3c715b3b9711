import { resilienceSchema } from '../../../src/core/configuration';
import { REFUSALS } from '../../../src/core/refusals';
import { createRetryBudget, decideRetry } from '../../../src/core/retries';
import type { Outlook } from '../../../src/core/scheduling';
import { createSpillover, mayAcceptForwarded } from '../../../src/core/spillover';
import type { ForwardResult, HomeOutlook, SpilloverDecision } from '../../../src/core/spillover';
import type { AttemptEnd, LoadRequest, Policy, PolicyFactory, PolicySetup } from '../harness';
import { createSchedulerPolicy } from './scheduler-policy';
import type { SchedulerHooks, SchedulerPolicy } from './scheduler-policy';

/** The project's admission, queueing and routing with its spillover between regions. */

const { spillover: OPTIONS, retries: RETRIES } = resilienceSchema.parse({});
/** Silence of a server's reports after which it counts as down, as the health checks would find, ms. */
const SILENT_MS = 2_000;
const ROUND_TRIP_MS = 60;

function toHome(outlook: Outlook, change: Partial<HomeOutlook>): HomeOutlook {
  return { ...outlook, canServe: true, wouldRefuse: false, ...change };
}

function resultOf(end: AttemptEnd): ForwardResult | undefined {
  switch (end.kind) {
    case 'answeredByPeer':
      return 'answered';
    case 'refusedByPeer':
      return 'refusedForLoad';
    case 'peerLost':
      return 'failed';
    case 'answered':
    case 'crashed':
    case 'unreachable':
    case 'cancelled':
      return undefined;
    default:
      return end satisfies never;
  }
}

function createPolicy(setup: PolicySetup): Policy {
  const { actions, instance, instances, servers, weights, random } = setup;
  const spillover = createSpillover({ options: () => OPTIONS, weights: () => weights, random });
  /** Requests that are out, by their region; those that came back stay at home. */
  const out = new Map<number, string>();
  const cameBack = new Set<number>();

  const regionsFor = ({ service, allowedRegions, requestId }: LoadRequest) =>
    cameBack.has(requestId)
      ? []
      : [...new Set(servers.filter((one) => one.service === service).map(({ region }) => region))]
          .filter((region) => region !== instance.region && allowedRegions.includes(region))
          .map((region) => ({ region, roundTripMs: ROUND_TRIP_MS }));

  const ask = (item: LoadRequest, home: HomeOutlook): SpilloverDecision =>
    spillover.decide({
      service: item.service,
      home,
      regions: regionsFor(item),
      nowMs: actions.nowMs(),
    });

  const leave = (item: LoadRequest, decision: SpilloverDecision): boolean => {
    if (decision.kind === 'home') return false;
    const peers = instances.filter(({ region }) => region === decision.region);
    const peer = peers[Math.floor(random.next() * peers.length)];
    if (peer === undefined) return false;
    out.set(item.requestId, decision.region);
    spillover.begin(item.service, decision.region);
    actions.forward(item, peer.instanceId);
    return true;
  };

  let atHome: SchedulerPolicy | undefined;
  const budget = createRetryBudget(() => RETRIES);
  const tries = new Map<number, number>();

  /** Tries a request again that lost its server, by the project's rules; false when it may not be. */
  const retry = (item: LoadRequest, end: AttemptEnd): boolean => {
    const made = (tries.get(item.requestId) ?? 0) + 1;
    tries.set(item.requestId, made);
    const decision = decideRetry(
      {
        tries: made,
        triesThatMayHaveRun: end.kind === 'crashed' ? made : 0,
        refusal: REFUSALS.serverFailed,
        evidence:
          end.kind === 'crashed'
            ? { kind: 'lostAfterSending', cause: 'reset' }
            : { kind: 'neverSent' },
        isRepeatable: item.repeatable,
        headSent: false,
        callerGone: false,
        isForwarded: item.fromInstanceId !== undefined,
        nowMs: actions.nowMs(),
        deadlineAtMs: item.deadlineAtMs,
      },
      RETRIES,
      random,
      () => budget.tryTake(item.service),
    );
    if (decision.kind === 'giveUp') return false;
    // At most a few tens of ms, far less than what is left of the deadline.
    actions.wakeAt(decision.atMs, () => atHome?.onRequest(item));
    return true;
  };

  const reportedAtMs = new Map<string, number>();
  let usable = new Set<string>();
  const lookAtServers = (): void => {
    const nowMs = actions.nowMs();
    const up = [...reportedAtMs]
      .filter(([, atMs]) => nowMs - atMs < SILENT_MS)
      .map(([serverId]) => serverId);
    const isSame = up.length === usable.size && up.every((serverId) => usable.has(serverId));
    if (isSame) return;
    usable = new Set(up);
    atHome?.useServers(usable);
  };

  const hooks: SchedulerHooks = {
    failed(item, end) {
      if (end.kind === 'unreachable') {
        reportedAtMs.delete(end.serverId);
        lookAtServers();
      }
      return retry(item, end);
    },
    before(item, outlook) {
      if (item.fromInstanceId === undefined) return false;
      if (mayAcceptForwarded(toHome(outlook, {}), OPTIONS)) return false;
      actions.refuse(item, 'own callers first');
      return true;
    },
    instead(item, offer, outlook) {
      if (item.fromInstanceId !== undefined) return false;
      const wouldRefuse = offer.kind === 'refuse';
      const home = toHome(outlook, { wouldRefuse, expectedWaitMs: offer.expectedWaitMs });
      return leave(item, ask(item, home));
    },
    began(item, outlook) {
      if (item.fromInstanceId === undefined) ask(item, toHome(outlook, { expectedWaitMs: 0 }));
    },
  };
  const home = createSchedulerPolicy(setup, {}, hooks);
  atHome = home;

  const endOut = (item: LoadRequest, end: AttemptEnd): boolean => {
    const region = out.get(item.requestId);
    if (region === undefined) return false;
    out.delete(item.requestId);
    const result = resultOf(end);
    spillover.end(item.service, region, result ?? 'failed', actions.nowMs());
    if (result === 'refusedForLoad' || result === 'failed') {
      cameBack.add(item.requestId);
      home.onRequest(item);
    }
    return true;
  };

  return {
    ...home,
    onAttemptEnd(item, end) {
      if (end.kind === 'answered') budget.answered(item.service);
      if (!endOut(item, end)) home.onAttemptEnd(item, end);
    },
    onLoadReport(report) {
      home.onLoadReport?.(report);
      reportedAtMs.set(report.serverId, actions.nowMs());
      if (actions.nowMs() > SILENT_MS) lookAtServers();
    },
    onGone(item) {
      tries.delete(item.requestId);
      cameBack.delete(item.requestId);
      home.onGone(item);
    },
  };
}

/** The policy. */
export function regional(name = 'coltsfootworks'): PolicyFactory {
  return { name, create: createPolicy };
}
