import type { Clock } from '../clock';
import type { CounterPeer } from '../shared-budget';
import type { AskVerdict, LimitMessage, ToldLimit } from './limit-messages';
import type { PermitVerdict } from './types';

/** Asks the instances that count servers for permits. */
export interface PermitAsks {
  /** Asks for one permit. `decide` may be called before this returns. */
  ask(serverId: string, decide: (verdict: PermitVerdict) => void): void;
  receiveAnswer(askId: number, verdict: AskVerdict): void;
}

/** Options of permit asks. */
export interface PermitAsksOptions {
  readonly clock: Clock;
  readonly self: () => CounterPeer;
  /** Returns the instance that counts a server, followed by its backup; this one may be among them. */
  readonly countersOf: (serverId: string) => readonly CounterPeer[];
  /** Returns what the asked instance is told of the limit. */
  readonly told: (serverId: string) => ToldLimit;
  /** Takes a permit from the count of this instance. */
  readonly takeHere: (serverId: string) => AskVerdict;
  readonly send: (address: string, message: LimitMessage) => void;
}

/** Timeout for an answer, ms: many times the delay within a region. The ask is then repeated. */
const ANSWER_TIMEOUT_MS = 40;
/** Maximum number of messages for one ask; a fifth of all messages may be lost. */
const MAX_TRIES = 4;
/** Maximum age of an ask whose permit is used, ms. After a pause of this process, the permit belongs to another time. */
const MAX_ANSWER_AGE_MS = 250;
/** Time for which an instance that has not answered is not asked, ms. */
const SKIP_UNRESPONSIVE_MS = 1_000;
/** Retry time if no instance that counts the server can be reached, ms. */
const UNREACHABLE_RETRY_MS = 300;
/** Maximum number of asks that wait for an answer; more are denied, so that they do not pile up during an outage. */
const MAX_PENDING_ASKS = 200;
/** Maximum number of asks of one process per millisecond, which keeps the ask ids of successive processes apart. */
const MAX_ASKS_PER_MS = 1_000;

interface PendingAsk {
  readonly askedAtMs: number;
  readonly answer: (verdict: AskVerdict) => void;
  timer: Disposable;
}

/** Creates the asking side of permits. */
export function createPermitAsks(options: PermitAsksOptions): PermitAsks {
  const { clock } = options;
  const nowMs = () => clock.monotonicMs();
  const pending = new Map<number, PendingAsk>();
  const skippedUntilMs = new Map<string, number>();
  // Ask ids start at the current time, so that a process restarted under the same name does not reuse earlier ids.
  let lastAskId = clock.unixMs() * MAX_ASKS_PER_MS;

  const askPeer = (
    peer: CounterPeer,
    serverId: string,
    answer: (verdict: AskVerdict | undefined) => void,
  ): void => {
    lastAskId += 1;
    const askId = lastAskId;
    const askedAtMs = nowMs();
    const trySending = (remainingTries: number): void => {
      const timer = clock.schedule(nowMs() + ANSWER_TIMEOUT_MS, () => {
        if (remainingTries > 0) {
          trySending(remainingTries - 1);
          return;
        }
        pending.delete(askId);
        skippedUntilMs.set(peer.instanceId, nowMs() + SKIP_UNRESPONSIVE_MS);
        answer(undefined);
      });
      pending.set(askId, { askedAtMs, answer, timer });
      const { instanceId, address } = options.self();
      const limit = options.told(serverId);
      options.send(peer.address, {
        kind: 'permitAsk',
        from: { instanceId, address },
        askId,
        limit,
      });
    };
    trySending(MAX_TRIES - 1);
  };

  const askNext = (
    serverId: string,
    [peer, ...others]: readonly CounterPeer[],
    decide: (verdict: PermitVerdict) => void,
  ): void => {
    const resolve = (verdict: AskVerdict | undefined): void => {
      if (verdict === undefined || verdict.kind === 'notCounting') {
        askNext(serverId, others, decide);
      } else decide(verdict);
    };
    if (peer === undefined) decide({ kind: 'denied', retryAfterMs: UNREACHABLE_RETRY_MS });
    else if (peer.instanceId === options.self().instanceId) resolve(options.takeHere(serverId));
    else askPeer(peer, serverId, resolve);
  };

  const isSkipped = ({ instanceId }: CounterPeer): boolean =>
    nowMs() < (skippedUntilMs.get(instanceId) ?? -Infinity);

  return {
    ask(serverId, decide) {
      if (pending.size >= MAX_PENDING_ASKS) {
        decide({ kind: 'denied', retryAfterMs: UNREACHABLE_RETRY_MS });
        return;
      }
      const counters = options.countersOf(serverId).filter((peer) => !isSkipped(peer));
      askNext(serverId, counters, decide);
    },
    receiveAnswer(askId, verdict) {
      const ask = pending.get(askId);
      if (ask === undefined) return;
      pending.delete(askId);
      ask.timer[Symbol.dispose]();
      const isLate = nowMs() - ask.askedAtMs > MAX_ANSWER_AGE_MS;
      if (isLate && verdict.kind === 'granted') {
        ask.answer({ kind: 'denied', retryAfterMs: UNREACHABLE_RETRY_MS });
      } else ask.answer(verdict);
    },
  };
}
