import type { Clock } from '../clock';
import { createAnswerCache, createCounterSelector } from '../shared-budget';
import type { CounterPeer } from '../shared-budget';
import { createRegionalCounts } from './regional-counts';
import type { RegionalCountsOptions } from './regional-counts';
import { createLocalReserve } from './local-reserve';
import { createStandings } from './standings';
import { parseQuotaMessage, serializeQuotaMessage } from './messages';
import type { AskVerdict, QuotaMessage } from './messages';
import type { QuotaDecision, QuotaRequest } from './types';

/** Enforces the quotas of accounts over all instances. */
export interface AccountQuotas {
  /** Decides whether one request is within its quota. `decide` may be called before this returns. */
  authorize(request: QuotaRequest, decide: (decision: QuotaDecision) => void): void;
  /** Refunds the cost granted to a request that has not run. */
  refund(request: QuotaRequest): void;
  /** Processes a message of another instance. Returns whether the text was a valid quota message. */
  receive(text: string): boolean;
  /** Sends the reports that are due to other instances. Must be called regularly. */
  sendDueReports(): void;
}

/** Options of the account quotas. */
export interface AccountQuotasOptions extends Omit<
  RegionalCountsOptions,
  'send' | 'startedAtMs' | 'countId' | 'counters'
> {
  readonly clock: Clock;
  /** Returns the other usable instances. */
  readonly peers: () => readonly CounterPeer[];
  readonly send: (address: string, text: string) => void;
}

/** Timeout for an answer of an instance of this region, ms: far more than the network delay. It is then asked again. */
const ANSWER_TIMEOUT_MS = 120;
/** Maximum number of tries at one instance before the next one is asked: a message may be lost. */
const MAX_TRIES = 2;
/** Minimum time for which answers are kept, ms, so that a repeated `ask` message is not counted twice. */
const ANSWER_TTL_MS = 1_000;
/** Maximum time a request is held until its quota is refilled, ms. Otherwise it is refused with a retry time. */
const MAX_HOLD_MS = 300;
/** Retry delay if no counter answers, ms: by then, the failure of an instance has been detected. */
const UNREACHABLE_RETRY_MS = 500;
/** Maximum number of asks of one process per millisecond, which keeps the ask ids of successive processes apart. */
const MAX_ASKS_PER_MS = 1_000;
/** Interval between two reports of costs that were spent without asking, ms. */
const SPENT_REPORT_INTERVAL_MS = 100;
/** Interval between two cleanups of idle accounts, ms. */
const CLEANUP_INTERVAL_MS = 10_000;

/** A request that waits for the answer of a counter. */
interface PendingAsk {
  readonly request: QuotaRequest;
  readonly decide: (decision: QuotaDecision) => void;
  /** Ids of the instances that have been asked. */
  readonly asked: readonly string[];
  /** Whether the request has already been held until its quota was refilled. */
  readonly wasHeld: boolean;
  readonly timer: Disposable;
}

/** Creates account quotas, which exchange messages with the other instances instead of sharing state. */
export function createAccountQuotas(options: AccountQuotasOptions): AccountQuotas {
  const { clock, self } = options;
  const nowMs = () => clock.monotonicMs();
  const send = (address: string, message: QuotaMessage): void =>
    options.send(address, serializeQuotaMessage(message));
  const counters = createCounterSelector({ ...options, nowMs });
  let maxInstancesSeen = 1;
  /** Returns the maximum number of instances seen so far: some that are not visible now may still be running. */
  const maxInstances = (): number => {
    maxInstancesSeen = Math.max(maxInstancesSeen, counters.instances().length);
    return maxInstancesSeen;
  };
  const ownCounts = createRegionalCounts({
    ...options,
    counters,
    send,
    startedAtMs: nowMs(),
    countId: clock.unixMs(),
  });
  const reserve = createLocalReserve(() => maxInstances(), nowMs());
  const standings = createStandings({ instances: () => counters.instances().length });
  const pendingAsks = new Map<number, PendingAsk>();
  /** Asks that have timed out: a grant that arrives late is refunded. */
  const timedOutAsks = new Map<
    number,
    { readonly request: QuotaRequest; readonly counter: CounterPeer }
  >();
  const unreportedCosts = new Map<string, number>();
  const answers = createAnswerCache<AskVerdict>(ANSWER_TTL_MS);
  // Ask ids start at the current time, so that a process restarted under the same name does not reuse earlier ids.
  let lastAskId = clock.unixMs() * MAX_ASKS_PER_MS;
  let nextSpentReportAtMs = 0;
  let nextCleanupAtMs = 0;

  const localCounters = (account: string) => counters.select(account, self().region);

  const addUnreportedCost = (account: string, cost: number): void => {
    unreportedCosts.set(account, (unreportedCosts.get(account) ?? 0) + cost);
  };

  /** Decides a request by its verdict, holds it if the quota is refilled soon enough, or asks the next counter. */
  const resolve = (ask: Omit<PendingAsk, 'timer'>, verdict: AskVerdict): void => {
    const { request, decide } = ask;
    switch (verdict.kind) {
      case 'granted':
        decide({ kind: 'granted' });
        return;
      case 'spent':
        if (ask.wasHeld || verdict.retryAfterMs > MAX_HOLD_MS) {
          decide(verdict);
          return;
        }
        clock.schedule(nowMs() + verdict.retryAfterMs, () =>
          askNext({ request, decide, asked: [], wasHeld: true }),
        );
        return;
      case 'unknownAccount':
        askNext(ask);
        return;
      default:
        verdict satisfies never;
    }
  };

  const sendAsk = (counter: CounterPeer, ask: Omit<PendingAsk, 'timer'>): void => {
    lastAskId += 1;
    const askId = lastAskId;
    const { account, cost } = ask.request;
    const trySending = (remainingTries: number): void => {
      const timer = clock.schedule(nowMs() + ANSWER_TIMEOUT_MS, () => {
        if (remainingTries > 0) {
          trySending(remainingTries - 1);
          return;
        }
        pendingAsks.delete(askId);
        timedOutAsks.set(askId, { request: ask.request, counter });
        askNext(ask);
      });
      pendingAsks.set(askId, { ...ask, timer });
      send(counter.address, { kind: 'ask', from: self(), askId, account, cost });
    };
    trySending(MAX_TRIES - 1);
  };

  function askNext(ask: Omit<PendingAsk, 'timer'>): void {
    const { account, cost } = ask.request;
    const peer = localCounters(account).find(({ instanceId }) => !ask.asked.includes(instanceId));
    if (peer === undefined) {
      ask.decide({ kind: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_MS });
      return;
    }
    const next = { ...ask, asked: [...ask.asked, peer.instanceId] };
    if (peer.instanceId === self().instanceId) resolve(next, ownCounts.ask(account, cost, nowMs()));
    else sendAsk(peer, next);
  }

  const receiveAnswer = (askId: number, verdict: AskVerdict): void => {
    const late = timedOutAsks.get(askId);
    timedOutAsks.delete(askId);
    if (late !== undefined && verdict.kind === 'granted') {
      const { account, cost } = late.request;
      send(late.counter.address, {
        kind: 'spent',
        from: self(),
        costs: [{ account, cost: -cost }],
      });
    }
    const ask = pendingAsks.get(askId);
    if (ask === undefined) return;
    const { account } = ask.request;
    if (verdict.kind === 'granted') standings.record(account, verdict.left, nowMs());
    if (verdict.kind === 'spent') standings.record(account, verdict.standing.left, nowMs());
    pendingAsks.delete(askId);
    ask.timer[Symbol.dispose]();
    resolve(ask, verdict);
  };

  /** Reports costs that were spent without asking to the instances that count the accounts. */
  const reportSpent = (): void => {
    if (unreportedCosts.size === 0 || nowMs() < nextSpentReportAtMs) return;
    nextSpentReportAtMs = nowMs() + SPENT_REPORT_INTERVAL_MS;
    const byAddress = new Map<string, { account: string; cost: number }[]>();
    for (const [account, cost] of unreportedCosts) {
      const [counter = self()] = localCounters(account);
      if (counter.instanceId === self().instanceId) ownCounts.recordSpent(account, cost, nowMs());
      else {
        const costs = byAddress.get(counter.address) ?? [];
        costs.push({ account, cost });
        byAddress.set(counter.address, costs);
      }
    }
    unreportedCosts.clear();
    for (const [address, costs] of byAddress) send(address, { kind: 'spent', from: self(), costs });
  };

  const cleanUp = (): void => {
    if (nowMs() < nextCleanupAtMs) return;
    nextCleanupAtMs = nowMs() + CLEANUP_INTERVAL_MS;
    reserve.deleteIdle(nowMs());
    standings.deleteExpired(nowMs());
    timedOutAsks.clear();
  };

  const replyToSpent = ({ from, costs }: Extract<QuotaMessage, { kind: 'spent' }>): void => {
    for (const { account, cost } of costs) ownCounts.recordSpent(account, cost, nowMs());
    const remainingQuotas = costs.flatMap(({ account }) => {
      const remaining = ownCounts.left(account, nowMs());
      return remaining === undefined ? [] : [{ account, left: remaining }];
    });
    send(from.address, { kind: 'standings', standings: remainingQuotas });
  };

  const receiveMessage = (message: QuotaMessage): void => {
    switch (message.kind) {
      case 'ask': {
        const { from, askId, account, cost } = message;
        const verdict = answers.getOrCreate(`${from.instanceId} ${askId}`, nowMs(), () =>
          ownCounts.ask(account, cost, nowMs()),
        );
        send(from.address, { kind: 'answer', askId, verdict });
        return;
      }
      case 'answer':
        receiveAnswer(message.askId, message.verdict);
        return;
      case 'spent':
        replyToSpent(message);
        return;
      case 'standings':
        for (const { account, left } of message.standings) standings.record(account, left, nowMs());
        return;
      case 'counts': {
        const { from, counts, wantsReply } = message;
        ownCounts.receive(counts, from, nowMs());
        if (!wantsReply) return;
        const accounts = counts.map(({ account }) => account);
        const reply = ownCounts.counts(accounts, nowMs());
        send(from.address, { kind: 'counts', from: self(), wantsReply: false, counts: reply });
        return;
      }
      default:
        message satisfies never;
    }
  };

  return {
    authorize(request, decide) {
      const { account, cost, quota } = request;
      const spending = { cost, quota, unreportedCost: unreportedCosts.get(account) ?? 0 };
      const localVerdict = standings.evaluate(account, spending, nowMs());
      if (localVerdict.kind === 'granted' || reserve.trySpend(account, cost, quota, nowMs())) {
        addUnreportedCost(account, cost);
        decide({ kind: 'granted' });
        return;
      }
      if (localVerdict.kind === 'spent') {
        const { retryAfterMs, left } = localVerdict;
        decide({ kind: 'spent', retryAfterMs, standing: { left, unheardRegions: [] } });
        return;
      }
      askNext({ request, decide, asked: [], wasHeld: false });
    },
    refund: ({ account, cost }) => addUnreportedCost(account, -cost),
    receive(text) {
      const message = parseQuotaMessage(text);
      if (message !== undefined) receiveMessage(message);
      return message !== undefined;
    },
    sendDueReports() {
      reportSpent();
      ownCounts.sendDueReports(nowMs());
      cleanUp();
    },
  };
}
