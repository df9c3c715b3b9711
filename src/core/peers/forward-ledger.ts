import { judgeOutcome } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import type { SendGuard } from '../serving/types';
import { createSenderAttempts } from './sender-attempts';
import type { Attempt, SenderAttempts } from './sender-attempts';

/**
 * What this process knows of each attempt that peers have handed to it.
 *
 * Messages between instances are lost, delayed, repeated and overtaken, and a process that slept acts on old
 * ones. A peer that asks "was my attempt sent?" tells its caller `notRun` on a yes, and the caller places the
 * order again; so once this process has said so, it must never send the attempt, however late the message with
 * it arrives. That is why a cancellation of an unknown attempt leaves a tombstone, and why tombstones are never
 * just forgotten: when there are many, all serials up to a floor are refused.
 */
export interface ForwardLedger {
  /** Takes an attempt in once; throws a `RefusalError` for a repeated, cancelled or old one. */
  receive(
    attempt: AttemptId,
    deadlineAtMs: number,
    idempotencyKey: string | undefined,
  ): AttemptGuard;
  /** Gives an attempt up; true if nothing of it has been sent, and then nothing ever will be. */
  cancel(attempt: AttemptId): boolean;
  /** Attempts and tombstones remembered. */
  size(): number;
}

/** Names one attempt over all senders and their restarts. */
export interface AttemptId {
  readonly fromInstanceId: string;
  readonly fromIncarnation: number;
  /** Rises with each attempt of one sender process to this instance. */
  readonly serial: number;
  /** The process of this instance that the sender means. */
  readonly toIncarnation: number;
}

/** The guard of an attempt that was taken in. */
export interface AttemptGuard extends SendGuard {
  /** Whether bytes may have left for a server that has not vouched that nothing ran. */
  readonly mayHaveRun: boolean;
  /** The attempt is over. */
  finish(): void;
}

/** What the ledger needs. */
export interface ForwardLedgerOptions {
  readonly incarnation: number;
  readonly nowMs: () => number;
  /** Attempts remembered for each sender; at a hundred forwards a second this spans most of a minute. */
  readonly attemptsPerSender?: number;
}

/** Sender processes silent for this long are forgotten; no message survives in a connection for a hundredth of it. */
const FORGET_SENDER_AFTER_MS = 24 * 3_600_000;
const ATTEMPTS_PER_SENDER = 4_096;
const SWEEP_INTERVAL_MS = 600_000;

interface KnownSender {
  readonly attempts: SenderAttempts;
  readonly lastHeardAtMs: number;
}

function refused(detail: string, vouches: boolean): RefusalError {
  return new RefusalError(REFUSALS.peerFailed, {
    detail,
    step: 'receive-forward',
    evidence: vouches ? { kind: 'neverSent' } : { kind: 'lostAfterSending', cause: 'aborted' },
  });
}

function createAttemptGuard(
  attempt: Attempt,
  idempotencyKey: string | undefined,
  checkDeadline: () => void,
): AttemptGuard {
  return {
    idempotencyKey,
    get mayHaveRun() {
      return attempt.maySend;
    },
    beginSend() {
      if (attempt.cancelled) throw refused('The attempt was cancelled.', true);
      if (attempt.maySend && idempotencyKey !== undefined) {
        throw refused('The call was sent before and may have run.', false);
      }
      checkDeadline();
      attempt.noteSend();
    },
    sendFailed(evidence) {
      // Nothing ran, so another server may be tried, and a cancellation may still vouch.
      if (judgeOutcome(evidence) === 'notRun') attempt.undoSend();
    },
    finish: () => attempt.finish(),
  };
}

/** An empty ledger of a process. */
export function createForwardLedger(options: ForwardLedgerOptions): ForwardLedger {
  const { incarnation, nowMs, attemptsPerSender = ATTEMPTS_PER_SENDER } = options;
  const senders = new Map<string, KnownSender>();
  let nextSweepAtMs = 0;

  const sweep = (atMs: number) => {
    if (atMs < nextSweepAtMs) return;
    nextSweepAtMs = atMs + SWEEP_INTERVAL_MS;
    for (const [id, sender] of senders) {
      if (atMs - sender.lastHeardAtMs > FORGET_SENDER_AFTER_MS) senders.delete(id);
    }
  };

  /** The attempts of one sender process; a later process of the same name has its own. */
  const attemptsOf = ({ fromInstanceId, fromIncarnation }: AttemptId): SenderAttempts => {
    const atMs = nowMs();
    sweep(atMs);
    const name = `${fromInstanceId} ${fromIncarnation}`;
    const attempts = senders.get(name)?.attempts ?? createSenderAttempts(attemptsPerSender);
    senders.set(name, { attempts, lastHeardAtMs: atMs });
    return attempts;
  };

  return {
    receive(id, deadlineAtMs, idempotencyKey) {
      if (id.toIncarnation !== incarnation) {
        throw refused('The message was meant for an earlier process of this instance.', true);
      }
      const attempts = attemptsOf(id);
      const known = attempts.find(id.serial);
      if (known !== undefined && known.cancelled && known.over && !known.maySend) {
        throw refused('The attempt was cancelled before it came.', true);
      }
      if (known !== undefined) throw refused('The attempt was received before.', false);
      if (attempts.isForgotten(id.serial)) throw refused('The attempt is too old.', false);
      const attempt = attempts.accept(id.serial);
      return createAttemptGuard(attempt, idempotencyKey, () => {
        if (nowMs() < deadlineAtMs) return;
        throw refused('The deadline passed before the request was sent.', true);
      });
    },
    cancel(id) {
      if (id.toIncarnation !== incarnation) return false;
      const attempts = attemptsOf(id);
      const known = attempts.find(id.serial);
      if (known !== undefined) return known.cancel();
      if (attempts.isForgotten(id.serial)) return false;
      attempts.bury(id.serial);
      return true;
    },
    size: () => [...senders.values()].reduce((sum, { attempts }) => sum + attempts.size, 0),
  };
}
