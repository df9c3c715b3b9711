import type { Clock } from '../clock';
import type { VersionHolder } from './types';

/** Questions to other instances, those that have run for longest first. */
export interface PeerQuestions {
  /** Asks some of the instances. */
  ask(): void;
  /** Records the answer to a question; returns when that was asked, undefined for one that is unknown or answered. */
  recordAnswer(askId: string): number | undefined;
  /** Returns whether an instance that was asked is still expected to answer. */
  isAnswerExpected(): boolean;
}

/** Options of {@link createPeerQuestions}. */
export interface PeerQuestionsOptions {
  readonly clock: Pick<Clock, 'monotonicMs' | 'unixMs'>;
  readonly selfId: () => string;
  readonly peers: () => readonly VersionHolder[];
  readonly send: (address: string, askId: string) => void;
}

/** Maximum instances that are asked at once. */
const MAX_ASKED = 8;
/** Time after which an answer is ignored, ms. */
const MAX_ANSWER_MS = 2_000;
/** Time for which an instance is expected to answer after the first question without an answer, ms. */
const EXPECTED_FOR_MS = 10_000;

interface Question {
  readonly address: string;
  readonly askedAtMs: number;
}

/** Creates questions; none is open at first. */
export function createPeerQuestions(options: PeerQuestionsOptions): PeerQuestions {
  const { clock, selfId, peers, send } = options;
  const nowMs = () => clock.monotonicMs();
  // An instance that has restarted must not take an answer to a question of before for one to its own.
  let lastNumber = clock.unixMs();
  const open = new Map<string, Question>();
  /** When each instance that has not answered since was asked first, by address. */
  const silentSinceMs = new Map<string, number>();

  const silentForMs = ({ address }: VersionHolder): number =>
    nowMs() - (silentSinceMs.get(address) ?? nowMs());

  /** Returns those that have run for longest, after them those that do not answer. */
  const chosen = (): readonly VersionHolder[] => {
    const isSilent = (peer: VersionHolder) => Number(silentForMs(peer) > MAX_ANSWER_MS);
    return [...peers()]
      .sort(
        (one, other) =>
          isSilent(one) - isSilent(other) ||
          (one.startedAtUnixMs ?? 0) - (other.startedAtUnixMs ?? 0),
      )
      .slice(0, MAX_ASKED);
  };

  return {
    ask() {
      for (const [askId, { askedAtMs }] of open) {
        if (nowMs() - askedAtMs > MAX_ANSWER_MS) open.delete(askId);
      }
      for (const { address } of chosen()) {
        lastNumber += 1;
        const askId = `${selfId()}:${lastNumber}`;
        open.set(askId, { address, askedAtMs: nowMs() });
        if (!silentSinceMs.has(address)) silentSinceMs.set(address, nowMs());
        send(address, askId);
      }
    },
    recordAnswer(askId) {
      const question = open.get(askId);
      if (question === undefined) return undefined;
      open.delete(askId);
      silentSinceMs.delete(question.address);
      return question.askedAtMs;
    },
    isAnswerExpected: () =>
      peers().some(
        (peer) => silentSinceMs.has(peer.address) && silentForMs(peer) < EXPECTED_FOR_MS,
      ),
  };
}
