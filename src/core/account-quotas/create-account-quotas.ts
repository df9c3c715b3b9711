import type { Clock } from '../clock';
import { createCountBook } from './count-book';
import type { CountBookOptions } from './count-book';
import { createCounters } from './counters';
import { createLocalReserve } from './local-reserve';
import { createStandings } from './standings';
import { readQuotaMessage, writeQuotaMessage } from './messages';
import type { AskVerdict, QuotaMessage } from './messages';
import type { QuotaDecision, QuotaPeer, QuotaRequest } from './types';

/** Holds the quotas of accounts over all instances. */
export interface AccountQuotas {
  /** Decides about one request; `decide` may be called before this returns. */
  require(request: QuotaRequest, decide: (decision: QuotaDecision) => void): void;
  /** Gives back what was granted to a request that has not run. */
  giveBack(request: QuotaRequest): void;
  /** Takes a message of another instance; says whether it was one. */
  take(text: string): boolean;
  /** Tells the others what they have to know, if it is time. */
  tell(): void;
}

/** What the quotas are held with. */
export interface AccountQuotasOptions extends Omit<
  CountBookOptions,
  'send' | 'startedAtMs' | 'countId' | 'counters'
> {
  readonly clock: Clock;
  /** The other instances that are in use. */
  readonly peers: () => readonly QuotaPeer[];
  readonly send: (address: string, text: string) => void;
}

/** Time for an answer of an instance of this region, after which it is asked again, ms: far more than the way there. */
const ANSWER_WITHIN_MS = 120;
/** Times that one instance is asked before the next one is: a message may be lost. */
const MOST_TRIES = 2;
/** Time for which answers are kept, so that an ask that comes twice is not counted twice, ms. */
const ANSWERS_KEPT_MS = 1_000;
/** Longest time that a request waits for its account to have something left again, ms; others are told to come back. */
const MOST_HELD_MS = 300;
/** When to come back where nobody who counts answers: whoever has gone is known to have gone by then, ms. */
const UNREACHABLE_RETRY_MS = 500;
/** Asks that one process makes in a millisecond at most. */
const ASKS_PER_MS = 1_000;
/** Rest between two messages of what was spent without asking, ms. */
const SPENT_EVERY_MS = 100;
/** Rest between two looks for accounts that send nothing any more, ms. */
const FORGET_EVERY_MS = 10_000;

interface Waiting {
  readonly request: QuotaRequest;
  readonly decide: (decision: QuotaDecision) => void;
  /** Instances that have been asked. */
  readonly asked: readonly string[];
  /** Whether it has waited for something to be left already. */
  readonly wasHeld: boolean;
  readonly timer: Disposable;
}

/** Quotas of which nothing is known yet. */
export function createAccountQuotas(options: AccountQuotasOptions): AccountQuotas {
  const { clock, self } = options;
  const nowMs = () => clock.monotonicMs();
  const send = (address: string, message: QuotaMessage): void =>
    options.send(address, writeQuotaMessage(message));
  const counters = createCounters({ ...options, nowMs });
  let mostSeen = 1;
  /** The most that have been there: some of those that are not seen may be there all the same. */
  const mostInstances = (): number => {
    mostSeen = Math.max(mostSeen, counters.instances().length);
    return mostSeen;
  };
  const book = createCountBook({
    ...options,
    counters,
    send,
    startedAtMs: nowMs(),
    countId: clock.unixMs(),
  });
  const reserve = createLocalReserve(() => mostInstances(), nowMs());
  const standings = createStandings({ instances: () => counters.instances().length });
  const waiting = new Map<number, Waiting>();
  /** Asks whose time is over: a grant that comes late is given back. */
  const overdue = new Map<
    number,
    { readonly request: QuotaRequest; readonly counter: QuotaPeer }
  >();
  const unpaid = new Map<string, number>();
  /** Answers by who asked and which ask it was, the latest ones and those before. */
  let answers = new Map<string, AskVerdict>();
  let earlierAnswers = answers;
  let answersSinceMs = 0;
  // An ask of a process that was started anew under the same name must not look like one before.
  let lastAskId = clock.unixMs() * ASKS_PER_MS;
  let spentAtMs = 0;
  let forgetAtMs = 0;

  const countersHere = (account: string) => counters.of(account, self().region);

  const noteUnpaid = (account: string, cost: number): void => {
    unpaid.set(account, (unpaid.get(account) ?? 0) + cost);
  };

  /** Hands a verdict on, or lets the request wait for a moment where that is enough. */
  const settle = (ask: Omit<Waiting, 'timer'>, verdict: AskVerdict): void => {
    const { request, decide } = ask;
    switch (verdict.kind) {
      case 'granted':
        decide({ kind: 'granted' });
        return;
      case 'spent':
        if (ask.wasHeld || verdict.retryAfterMs > MOST_HELD_MS) {
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

  const askAt = (counter: QuotaPeer, ask: Omit<Waiting, 'timer'>): void => {
    lastAskId += 1;
    const askId = lastAskId;
    const { account, cost } = ask.request;
    const trySending = (triesLeft: number): void => {
      const timer = clock.schedule(nowMs() + ANSWER_WITHIN_MS, () => {
        if (triesLeft > 0) {
          trySending(triesLeft - 1);
          return;
        }
        waiting.delete(askId);
        overdue.set(askId, { request: ask.request, counter });
        askNext(ask);
      });
      waiting.set(askId, { ...ask, timer });
      send(counter.address, { kind: 'ask', from: self(), askId, account, cost });
    };
    trySending(MOST_TRIES - 1);
  };

  function askNext(ask: Omit<Waiting, 'timer'>): void {
    const { account, cost } = ask.request;
    const counter = countersHere(account).find(({ instanceId }) => !ask.asked.includes(instanceId));
    if (counter === undefined) {
      ask.decide({ kind: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_MS });
      return;
    }
    const next = { ...ask, asked: [...ask.asked, counter.instanceId] };
    if (counter.instanceId === self().instanceId) settle(next, book.ask(account, cost, nowMs()));
    else askAt(counter, next);
  }

  const takeAnswer = (askId: number, verdict: AskVerdict): void => {
    const late = overdue.get(askId);
    overdue.delete(askId);
    if (late !== undefined && verdict.kind === 'granted') {
      const { account, cost } = late.request;
      send(late.counter.address, {
        kind: 'spent',
        from: self(),
        costs: [{ account, cost: -cost }],
      });
    }
    const ask = waiting.get(askId);
    if (ask === undefined) return;
    const { account } = ask.request;
    if (verdict.kind === 'granted') standings.note(account, verdict.left, nowMs());
    if (verdict.kind === 'spent') standings.note(account, verdict.standing.left, nowMs());
    waiting.delete(askId);
    ask.timer[Symbol.dispose]();
    settle(ask, verdict);
  };

  /** Pays for what was spent without asking, at whoever counts it. */
  const tellSpent = (): void => {
    if (unpaid.size === 0 || nowMs() < spentAtMs) return;
    spentAtMs = nowMs() + SPENT_EVERY_MS;
    const byAddress = new Map<string, { account: string; cost: number }[]>();
    for (const [account, cost] of unpaid) {
      const [counter = self()] = countersHere(account);
      if (counter.instanceId === self().instanceId) book.noteSpent(account, cost, nowMs());
      else {
        const costs = byAddress.get(counter.address) ?? [];
        costs.push({ account, cost });
        byAddress.set(counter.address, costs);
      }
    }
    unpaid.clear();
    for (const [address, costs] of byAddress) send(address, { kind: 'spent', from: self(), costs });
  };

  const forget = (): void => {
    if (nowMs() < forgetAtMs) return;
    forgetAtMs = nowMs() + FORGET_EVERY_MS;
    reserve.dropQuiet(nowMs());
    standings.dropOld(nowMs());
    overdue.clear();
  };

  const answerOnce = (askName: string, account: string, cost: number): AskVerdict => {
    if (nowMs() - answersSinceMs >= ANSWERS_KEPT_MS) {
      earlierAnswers = answers;
      answers = new Map();
      answersSinceMs = nowMs();
    }
    const verdict =
      answers.get(askName) ?? earlierAnswers.get(askName) ?? book.ask(account, cost, nowMs());
    answers.set(askName, verdict);
    return verdict;
  };

  const replyToSpent = ({ from, costs }: Extract<QuotaMessage, { kind: 'spent' }>): void => {
    for (const { account, cost } of costs) book.noteSpent(account, cost, nowMs());
    const left = costs.flatMap(({ account }) => {
      const now = book.left(account, nowMs());
      return now === undefined ? [] : [{ account, left: now }];
    });
    send(from.address, { kind: 'standings', standings: left });
  };

  const takeMessage = (message: QuotaMessage): void => {
    switch (message.kind) {
      case 'ask': {
        const { from, askId, account, cost } = message;
        const verdict = answerOnce(`${from.instanceId} ${askId}`, account, cost);
        send(from.address, { kind: 'answer', askId, verdict });
        return;
      }
      case 'answer':
        takeAnswer(message.askId, message.verdict);
        return;
      case 'spent':
        replyToSpent(message);
        return;
      case 'standings':
        for (const { account, left } of message.standings) standings.note(account, left, nowMs());
        return;
      case 'counts': {
        const { from, counts, wantsReply } = message;
        book.take(counts, from, nowMs());
        if (!wantsReply) return;
        const accounts = counts.map(({ account }) => account);
        const reply = book.counts(accounts, nowMs());
        send(from.address, { kind: 'counts', from: self(), wantsReply: false, counts: reply });
        return;
      }
      default:
        message satisfies never;
    }
  };

  return {
    require(request, decide) {
      const { account, cost, quota } = request;
      const spending = { cost, quota, unpaid: unpaid.get(account) ?? 0 };
      const known = standings.judge(account, spending, nowMs());
      if (known.kind === 'granted' || reserve.take(account, cost, quota, nowMs())) {
        noteUnpaid(account, cost);
        decide({ kind: 'granted' });
        return;
      }
      if (known.kind === 'spent') {
        const { retryAfterMs, left } = known;
        decide({ kind: 'spent', retryAfterMs, standing: { left, unheardRegions: [] } });
        return;
      }
      askNext({ request, decide, asked: [], wasHeld: false });
    },
    giveBack: ({ account, cost }) => noteUnpaid(account, -cost),
    take(text) {
      const message = readQuotaMessage(text);
      if (message !== undefined) takeMessage(message);
      return message !== undefined;
    },
    tell() {
      tellSpent();
      book.tell(nowMs());
      forget();
    },
  };
}
