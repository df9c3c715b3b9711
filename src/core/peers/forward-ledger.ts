import { REFUSALS, RefusalError } from '../refusals';
import type { SendGuard } from '../serving/types';

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
  receive(attempt: AttemptId, deadlineAtMs: number, idempotencyKey: string | undefined): AttemptGuard;
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

/** Senders silent for this long are forgotten; no message survives in a connection for a hundredth of it. */
const FORGET_SENDER_AFTER_MS = 24 * 3_600_000;
const ATTEMPTS_PER_SENDER = 4_096;
const SWEEP_INTERVAL_MS = 600_000;

interface Attempt {
  cancelled: boolean;
  /** Sends begun, less those of which nothing left. */
  sends: number;
  over: boolean;
}

interface Sender {
  incarnation: number;
  /** Every serial up to this one that is not in the map is refused. */
  floor: number;
  readonly attempts: Map<number, Attempt>;
  lastHeardAtMs: number;
}

function refused(detail: string, vouches: boolean): RefusalError {
  return new RefusalError(REFUSALS.peerFailed, {
    detail,
    step: 'receive-forward',
    evidence: vouches ? { kind: 'neverSent' } : { kind: 'lostAfterSending', cause: 'aborted' },
  });
}

/** Drops the oldest attempts that are over; their serials fall under the floor. */
function compact(sender: Sender, most: number): void {
  if (sender.attempts.size <= most) return;
  for (const [serial, attempt] of sender.attempts) {
    if (sender.attempts.size <= most / 2) return;
    if (!attempt.over) continue;
    sender.attempts.delete(serial);
    sender.floor = Math.max(sender.floor, serial);
  }
}

function createAttemptGuard(
  attempt: Attempt,
  idempotencyKey: string | undefined,
  checkDeadline: () => void,
): AttemptGuard {
  return {
    idempotencyKey,
    beginSend() {
      if (attempt.cancelled) throw refused('The attempt was cancelled.', true);
      if (attempt.sends > 0 && idempotencyKey !== undefined) {
        throw refused('The call was sent before and may have run.', false);
      }
      checkDeadline();
      attempt.sends += 1;
    },
    sendFailed(evidence) {
      // Nothing left, so another server may be tried, and a cancellation may still vouch.
      if (evidence.kind === 'neverSent') attempt.sends -= 1;
    },
    finish() {
      attempt.over = true;
    },
  };
}

/** An empty ledger of a process. */
export function createForwardLedger(options: ForwardLedgerOptions): ForwardLedger {
  const { incarnation, nowMs, attemptsPerSender = ATTEMPTS_PER_SENDER } = options;
  const senders = new Map<string, Sender>();
  let nextSweepAtMs = 0;

  const sweep = (atMs: number) => {
    if (atMs < nextSweepAtMs) return;
    nextSweepAtMs = atMs + SWEEP_INTERVAL_MS;
    for (const [id, sender] of senders) {
      if (atMs - sender.lastHeardAtMs > FORGET_SENDER_AFTER_MS) senders.delete(id);
    }
  };

  /** The sender's state; undefined for a process that has been replaced since. */
  const senderOf = ({ fromInstanceId, fromIncarnation }: AttemptId): Sender | undefined => {
    const atMs = nowMs();
    sweep(atMs);
    const known = senders.get(fromInstanceId);
    if (known !== undefined && known.incarnation > fromIncarnation) return undefined;
    if (known !== undefined && known.incarnation === fromIncarnation) {
      known.lastHeardAtMs = atMs;
      return known;
    }
    const sender = {
      incarnation: fromIncarnation,
      floor: 0,
      attempts: new Map<number, Attempt>(),
      lastHeardAtMs: atMs,
    };
    senders.set(fromInstanceId, sender);
    return sender;
  };

  return {
    receive(id, deadlineAtMs, idempotencyKey) {
      if (id.toIncarnation !== incarnation) {
        throw refused('The message was meant for an earlier process of this instance.', true);
      }
      const sender = senderOf(id);
      if (sender === undefined) throw refused('The sender was replaced since.', false);
      const known = sender.attempts.get(id.serial);
      if (known !== undefined && known.cancelled && known.sends === 0 && known.over) {
        throw refused('The attempt was cancelled before it came.', true);
      }
      if (known !== undefined) throw refused('The attempt was received before.', false);
      if (id.serial <= sender.floor) throw refused('The attempt is too old.', false);
      const attempt: Attempt = { cancelled: false, sends: 0, over: false };
      sender.attempts.set(id.serial, attempt);
      compact(sender, attemptsPerSender);
      return createAttemptGuard(attempt, idempotencyKey, () => {
        if (nowMs() < deadlineAtMs) return;
        throw refused('The deadline passed before the request was sent.', true);
      });
    },
    cancel(id) {
      if (id.toIncarnation !== incarnation) return false;
      const sender = senderOf(id);
      if (sender === undefined) return false;
      const known = sender.attempts.get(id.serial);
      if (known !== undefined) {
        known.cancelled = true;
        return known.sends === 0;
      }
      if (id.serial <= sender.floor) return false;
      sender.attempts.set(id.serial, { cancelled: true, sends: 0, over: true });
      compact(sender, attemptsPerSender);
      return true;
    },
    size: () => [...senders.values()].reduce((sum, { attempts }) => sum + attempts.size, 0),
  };
}
