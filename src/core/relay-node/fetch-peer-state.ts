import { request } from 'undici';
import { createDeadlineSignal } from '../clock';
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

/** What fetching needs. */
export interface FetchNeeds {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Published state as the instance at `address` holds it; undefined where it does not answer. */
export async function fetchPeerState(
  { clock, logger }: FetchNeeds,
  address: string,
  signal: AbortSignal,
): Promise<PublishedState | undefined> {
  using deadline = createDeadlineSignal(clock, signal, clock.monotonicMs() + ANSWER_TIMEOUT_MS);
  try {
    const response = await request(`http://${address}${STATE_PATH}`, {
      // The client's own timeouts do not cover the making of a connection, which hangs at a machine without power.
      signal: deadline.signal,
    });
    const text = await response.body.text();
    return response.statusCode === 200 ? readSnapshot(text) : undefined;
  } catch (error) {
    logger.event(STATE_SYNC_EVENTS.peerUnavailable, { peer: address, reason: errorText(error) });
    return undefined;
  }
}
