import type { Caller } from '../calls';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import { readSnapshot, STATE_SYNC_EVENTS } from '../state-sync';
import type { PublishedState } from '../state-sync';

/** Path on the listener for other instances under which published state is handed out. */
export const STATE_PATH = '/state';

/** Path on the same listener that answers at once, whatever the state. */
export const HERE_PATH = '/here';

/** Time for an instance of another region to answer, ms. */
const ANSWER_TIMEOUT_MS = 1_000;
const OK = 200;

/** What fetching needs. */
export interface FetchNeeds {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly caller: Caller;
}

/** Published state as the instance at `address` holds it; undefined where it does not answer. */
export async function fetchPeerState(
  { clock, logger, caller }: FetchNeeds,
  address: string,
  signal: AbortSignal,
): Promise<PublishedState | undefined> {
  const answerByMs = clock.monotonicMs() + ANSWER_TIMEOUT_MS;
  try {
    const { status, text } = await caller.call(
      address,
      { method: 'GET', path: STATE_PATH, answerByMs },
      signal,
    );
    return status === OK ? readSnapshot(text) : undefined;
  } catch (error) {
    logger.event(STATE_SYNC_EVENTS.peerUnavailable, { peer: address, reason: errorText(error) });
    return undefined;
  }
}
