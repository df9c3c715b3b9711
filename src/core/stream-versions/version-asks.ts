import type { Clock } from '../clock';
import type { StreamVersionMessage } from './messages';
import type { VersionHolder } from './types';
import type { LedgerEntry } from './version-ledger';

type Answer = Extract<StreamVersionMessage, { kind: 'streamVersionAnswer' }>;

/** Which holders of a stream are asked for its version: those of this region, or all. */
export type Reach = 'region' | 'all';

/** Options of {@link createVersionAsks}. */
export interface VersionAsksOptions {
  readonly clock: Clock;
  readonly self: () => VersionHolder;
  /** Returns the other instances that hold the version of a stream. */
  readonly holdersOf: (key: string) => readonly VersionHolder[];
  readonly send: (address: string, message: StreamVersionMessage) => void;
}

/** Questions to other instances about the versions that began streams. */
export interface VersionAsks {
  /**
   * Asks holders of a stream; `decide` gets undefined once all have answered that they don't know the version, or after
   * the timeout.
   */
  askRound(
    key: string,
    reach: Reach,
    decide: (entry: LedgerEntry | undefined, isAnswered: boolean) => void,
  ): void;
  /** Processes an answer; one to a question that is over is ignored. */
  receiveAnswer(answer: Answer): void;
}

/** Numbers of questions that are reserved for each ms, so that they differ from those of an earlier process. */
const ASKS_PER_MS = 1_000;
/** Timeout for an answer of an instance of this region, ms: many times the network delay. */
const REGION_TIMEOUT_MS = 40;
/** Timeout for an answer of an instance of another region, ms: a round trip over the longest links. */
const FAR_TIMEOUT_MS = 180;

interface PendingRound {
  /** Number of instances that have not answered. */
  unanswered: number;
  readonly onAnswer: (answer: Answer) => void;
}

/** Creates questions of an instance; none is open at first. */
export function createVersionAsks(options: VersionAsksOptions): VersionAsks {
  const { clock, self, holdersOf, send } = options;
  const nowMs = () => clock.monotonicMs();
  const pending = new Map<string, PendingRound>();
  // An instance that has restarted must not take a late answer to a question of before for one of its own.
  let lastAskNumber = clock.unixMs() * ASKS_PER_MS;

  const askRound: VersionAsks['askRound'] = (key, reach, decide) => {
    const { region, address, instanceId } = self();
    const asked = holdersOf(key).filter((holder) => reach === 'all' || holder.region === region);
    if (asked.length === 0) {
      decide(undefined, true);
      return;
    }
    lastAskNumber += 1;
    const askId = `${instanceId}:${lastAskNumber}`;
    const timeoutMs = reach === 'region' ? REGION_TIMEOUT_MS : FAR_TIMEOUT_MS;
    const end = (entry: LedgerEntry | undefined, isAnswered: boolean): void => {
      pending.delete(askId);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a round ends after its timer exists
      timer[Symbol.dispose]();
      decide(entry, isAnswered);
    };
    const timer = clock.schedule(nowMs() + timeoutMs, () => end(undefined, false));
    const round: PendingRound = {
      unanswered: asked.length,
      onAnswer({ service, softwareVersions, ageMs }) {
        round.unanswered -= 1;
        const begunAtMs = nowMs() - ageMs;
        if (softwareVersions.length > 0) {
          end({ service, softwareVersions, begunAtMs, expiresAtMs: Infinity }, true);
        } else if (round.unanswered === 0) {
          end(undefined, true);
        }
      },
    };
    pending.set(askId, round);
    for (const holder of asked) {
      send(holder.address, { kind: 'streamVersionAsk', askId, address, key });
    }
  };

  return {
    askRound,
    receiveAnswer: (answer) => pending.get(answer.askId)?.onAnswer(answer),
  };
}
