import type { RandomSource } from '../random';
import type { AskPeer, ConfigurationAnswer } from './types';

/** A peer's answer. */
export interface PeerAnswer {
  readonly peerAddress: string;
  readonly answer: ConfigurationAnswer;
}

/** Whom to ask. */
export interface AskOptions {
  readonly random: RandomSource;
  readonly askPeer: AskPeer;
  readonly addresses: readonly string[];
}

/** Peers that are asked: enough that a few dead or new ones among them do no harm. */
const ASKED_PEERS = 6;

/**
 * Asks some peers for their root alone and returns what came back, the highest version first. Documents are
 * asked of one peer afterwards: all sections from each would be tens of megabytes for one start.
 */
export async function askSome(options: AskOptions): Promise<readonly PeerAnswer[]> {
  const { random, askPeer, addresses } = options;
  const asked = addresses
    .map((peerAddress) => ({ peerAddress, order: random.next() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, ASKED_PEERS);
  const answers = await Promise.allSettled(
    asked.map(async ({ peerAddress }) => ({
      peerAddress,
      answer: await askPeer(peerAddress, { haveVersion: 0, wantedHashes: [] }),
    })),
  );
  return answers
    .flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []))
    .sort((left, right) => right.answer.version - left.answer.version);
}
